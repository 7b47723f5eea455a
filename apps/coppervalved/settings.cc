#include "settings.h"

#include <CLI/CLI.hpp>
#include <fstream>   // ifstream
#include <iterator>  // istreambuf_iterator
#include <map>       // map
#include <utility>   // move

#include "coppervalve/net/endpoint.h"
#include "setting_table.h"
#include "version.h"

namespace coppervalve::daemon {

namespace {

using core::ErrorId;
using Values = std::map<std::string, std::string>;

constexpr size_t kMinSecretBytes = 8;

core::Error BadValue(const std::string& name,
                     const std::string& value,
                     const std::string& allowed) {
  return {ErrorId::kSettingBadValue, "--" + name,
          "\"" + value + "\" is not allowed; allowed: " + allowed};
}

core::Error Missing(const std::string& name, const std::string& allowed) {
  return {ErrorId::kSettingMissing, "--" + name,
          "not given; allowed: " + allowed};
}

core::Status Store(const Values& values, Settings& settings) {
  for (const SettingSpec& spec : SettingTable()) {
    const std::string& value = values.at(spec.name);
    if (spec.required && value.empty()) {
      return Missing(spec.name, spec.allowed);
    }
    if (!spec.store(settings, value)) {
      return BadValue(spec.name, value, spec.allowed);
    }
  }
  return core::Ok();
}

// A secret on the command line is visible in the process list, so it can be
// read from a file instead.
core::Status ReadSecret(const std::string& name,
                        const std::string& file,
                        std::string& secret) {
  if (!file.empty()) {
    std::ifstream stream(file);
    if (!stream) {
      return BadValue(name + "-file", file, "a readable file");
    }
    secret.assign(std::istreambuf_iterator<char>(stream), {});
    while (!secret.empty() &&
           (secret.back() == '\n' || secret.back() == '\r')) {
      secret.pop_back();
    }
  }
  if (secret.empty()) {
    return Missing(name, "a value, or --" + name + "-file");
  }
  if (secret.size() < kMinSecretBytes) {
    return BadValue(name, "(hidden)",
                    "at least " + std::to_string(kMinSecretBytes) + " bytes");
  }
  return core::Ok();
}

core::Status Advertise(const std::string& name,
                       const std::string& listen,
                       std::string& advertised) {
  if (!advertised.empty() || listen.empty()) {
    return core::Ok();
  }
  const auto endpoint = net::ReadEndpoint(listen);
  if (!endpoint || endpoint->port == 0 || endpoint->any_address) {
    return Missing(name, "needed as " + listen + " can't be connected to");
  }
  advertised = listen;
  return core::Ok();
}

core::Status Complete(Settings& settings) {
  net::ShellSettings& shell = settings.shell;
  core::Status status = ReadSecret(
      "operator-token", settings.operator_token_file, shell.operator_token);
  if (core::IsOk(status) && !shell.peer_listen.empty()) {
    status =
        ReadSecret("peer-secret", settings.peer_secret_file, shell.peer_secret);
  }
  if (core::IsOk(status)) {
    status = Advertise("caller-advertise", shell.caller_listen,
                       settings.caller_advertise);
  }
  if (core::IsOk(status)) {
    status =
        Advertise("peer-advertise", shell.peer_listen, settings.peer_advertise);
  }
  if (core::IsOk(status)) {
    status = Advertise("operator-advertise", shell.operator_listen,
                       settings.operator_advertise);
  }
  return status;
}

std::string Print(Values values, const Settings& settings) {
  values["caller-advertise"] = settings.caller_advertise;
  values["peer-advertise"] = settings.peer_advertise;
  values["operator-advertise"] = settings.operator_advertise;
  std::string text;
  for (const SettingSpec& spec : SettingTable()) {
    const std::string& value = values[spec.name];
    const bool hidden = spec.secret && !value.empty();
    text += spec.name + " = " + (hidden ? "(hidden)" : value) + "\n";
  }
  return text;
}

}  // namespace

core::Result<CommandLine> ReadCommandLine(int argc, const char* const* argv) {
  CLI::App app("A router of the coppervalve fleet.", "coppervalved");
  Values values;
  CommandLine line;
  bool check = false;
  bool version = false;
  for (const SettingSpec& spec : SettingTable()) {
    values[spec.name] = spec.default_value;
    app.add_option("--" + spec.name, values[spec.name],
                   spec.help + " (" + spec.allowed + ")")
        ->envname(VariableOf(spec));
  }
  app.add_flag("--check-settings", check, "Print the settings and exit");
  app.add_flag("--version", version, "Print the version and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::CallForHelp&) {
    line.mode = CommandLine::Mode::kPrint;
    line.text = app.help();
    return line;
  } catch (const CLI::ExtrasError& error) {
    return core::Error{ErrorId::kSettingUnknown, "command line", error.what()};
  } catch (const CLI::ParseError& error) {
    return core::Error{ErrorId::kSettingBadValue, "command line", error.what()};
  }
  if (version) {
    line.mode = CommandLine::Mode::kPrint;
    line.text = std::string("coppervalved ") + kVersion + "\n";
    return line;
  }
  for (const core::Status& status :
       {Store(values, line.settings), Complete(line.settings)}) {
    if (!core::IsOk(status)) {
      return core::Failure(status);
    }
  }
  if (check) {
    line.mode = CommandLine::Mode::kCheckSettings;
    line.text = Print(values, line.settings);
  }
  return line;
}

}  // namespace coppervalve::daemon
