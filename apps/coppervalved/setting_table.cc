#include "setting_table.h"

#include <algorithm>  // all_of
#include <charconv>   // from_chars
#include <cstdint>    // int64_t
#include <optional>   // optional
#include <utility>    // move

#include "coppervalve/net/endpoint.h"

namespace coppervalve::daemon {

namespace {

using Store = std::function<bool(Settings&, const std::string&)>;
using std::chrono::milliseconds;

constexpr size_t kMaxNameBytes = 64;
constexpr const char* kNameRule = "1 to 64 of a-z, 0-9, '-', '_', '.'";
constexpr const char* kListenRule = "ip:port or [ip]:port";
constexpr const char* kReachableRule =
    "ip:port that others can connect to, port not 0";
constexpr const char* kMillisRule = "1 to 86400000 (ms)";
constexpr int64_t kMillisPerDay = 86'400'000;

bool IsName(const std::string& text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::optional<int64_t> ParseInteger(const std::string& text) {
  int64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, failed] = std::from_chars(text.data(), last, number);
  if (failed != std::errc() || end != last) {
    return std::nullopt;
  }
  return number;
}

bool IsReachable(const std::string& text) {
  const auto endpoint = net::ReadEndpoint(text);
  return endpoint && endpoint->port != 0 && !endpoint->any_address;
}

Store Name(std::function<std::string&(Settings&)> field) {
  return
      [field = std::move(field)](Settings& settings, const std::string& text) {
        field(settings) = text;
        return IsName(text);
      };
}

Store Text(std::function<std::string&(Settings&)> field) {
  return
      [field = std::move(field)](Settings& settings, const std::string& text) {
        field(settings) = text;
        return true;
      };
}

Store Listen(std::function<std::string&(Settings&)> field) {
  return
      [field = std::move(field)](Settings& settings, const std::string& text) {
        field(settings) = text;
        return text.empty() || net::ReadEndpoint(text).has_value();
      };
}

Store Reachable(std::function<std::string&(Settings&)> field) {
  return
      [field = std::move(field)](Settings& settings, const std::string& text) {
        field(settings) = text;
        return text.empty() || IsReachable(text);
      };
}

Store Size(std::function<size_t&(Settings&)> field,
           int64_t min_value,
           int64_t max_value) {
  return [field = std::move(field), min_value, max_value](
             Settings& settings, const std::string& text) {
    const auto number = ParseInteger(text);
    if (!number || *number < min_value || *number > max_value) {
      return false;
    }
    field(settings) = static_cast<size_t>(*number);
    return true;
  };
}

Store Millis(std::function<milliseconds&(Settings&)> field) {
  return
      [field = std::move(field)](Settings& settings, const std::string& text) {
        const auto number = ParseInteger(text);
        if (!number || *number < 1 || *number > kMillisPerDay) {
          return false;
        }
        field(settings) = milliseconds(*number);
        return true;
      };
}

bool StoreLogLevel(Settings& settings, const std::string& text) {
  using Level = router::LogLine::Level;
  if (text == "info") {
    settings.log_level = Level::kInfo;
  } else if (text == "warning") {
    settings.log_level = Level::kWarning;
  } else if (text == "error") {
    settings.log_level = Level::kError;
  } else {
    return false;
  }
  return true;
}

void AddIdentity(std::vector<SettingSpec>& table) {
  table.push_back({"router-id", "", "Id of this router, unique in the fleet",
                   kNameRule, true, false, Name([](Settings & s) -> auto& {
                     return s.shell.router_id;
                   })});
  table.push_back(
      {"failure-domain", "", "Failure domain of this VM", kNameRule, true,
       false, Name([](Settings & s) -> auto& { return s.failure_domain; })});
  table.push_back({"region", "default", "Region of this VM", kNameRule, false,
                   false,
                   Name([](Settings & s) -> auto& { return s.region; })});
}

void AddAddresses(std::vector<SettingSpec>& table) {
  table.push_back(
      {"caller-listen", "", "Where callers connect", kListenRule, true, false,
       Listen([](Settings & s) -> auto& { return s.shell.caller_listen; })});
  table.push_back({"caller-advertise", "",
                   "Address advertised to callers; default: --caller-listen",
                   kReachableRule, false, false, Reachable([
                   ](Settings & s) -> auto& { return s.caller_advertise; })});
  table.push_back({"peer-listen", "",
                   "Address on which other routers connect; empty: disabled",
                   kListenRule, false, false, Listen([](Settings & s) -> auto& {
                     return s.shell.peer_listen;
                   })});
  table.push_back(
      {"peer-advertise", "",
       "Address advertised to other routers; default: --peer-listen",
       kReachableRule, false, false,
       Reachable([](Settings & s) -> auto& { return s.peer_advertise; })});
  table.push_back({"operator-listen", "", "Address for operators and metrics",
                   kListenRule, true, false, Listen([](Settings & s) -> auto& {
                     return s.shell.operator_listen;
                   })});
  table.push_back(
      {"operator-advertise", "",
       "Address advertised to operators; default: --operator-listen",
       kReachableRule, false, false,
       Reachable([](Settings & s) -> auto& { return s.operator_advertise; })});
  table.push_back(
      {"log", "", "The platform's log service", kReachableRule, true, false,
       Reachable([](Settings & s) -> auto& { return s.shell.log_address; })});
  table.push_back(
      {"vm-list", "", "Address of the platform's VM list; empty: not used",
       kReachableRule, false, false, Reachable([](Settings & s) -> auto& {
         return s.shell.vm_list_address;
       })});
}

void AddSecrets(std::vector<SettingSpec>& table) {
  table.push_back({"operator-token", "", "Bearer token of operators",
                   "any text", false, true, Text([](Settings & s) -> auto& {
                     return s.shell.operator_token;
                   })});
  table.push_back(
      {"operator-token-file", "", "File that contains the operator token",
       "a readable file", false, false,
       Text([](Settings & s) -> auto& { return s.operator_token_file; })});
  table.push_back(
      {"peer-secret", "", "Secret shared by all routers", "any text", false,
       true, Text([](Settings & s) -> auto& { return s.shell.peer_secret; })});
  table.push_back({"peer-secret-file", "", "File that contains the peer secret",
                   "a readable file", false, false, Text([
                   ](Settings & s) -> auto& { return s.peer_secret_file; })});
}

void AddBounds(std::vector<SettingSpec>& table) {
  table.push_back(
      {"traffic-threads", "2", "Threads that serve connections", "1 to 64",
       false, false,
       Size(
           [](Settings & s) -> auto& { return s.shell.traffic_threads; }, 1,
           64)});
  table.push_back(
      {"max-connections", "8192", "Maximum open connections per port",
       "1 to 1000000", false, false,
       Size(
           [](Settings & s) -> auto& { return s.shell.caller.max_connections; },
           1, 1'000'000)});
  table.push_back(
      {"max-held-bytes", "67108864",
       "Maximum memory for what callers have sent, all together",
       "1048576 to 17179869184", false, false,
       Size(
           [](Settings & s) -> auto& { return s.shell.caller.max_held_bytes; },
           1'048'576, 17'179'869'184)});
  table.push_back({"max-header-bytes", "16384",
                   "Maximum header size of a request", "1024 to 1048576", false,
                   false,
                   Size(
                       [](Settings & s) -> auto& {
                         return s.shell.caller.max_header_bytes;
                       },
                       1024, 1'048'576)});
  table.push_back(
      {"max-body-bytes", "1048576", "Maximum body size of a request",
       "1024 to 16777216", false, false,
       Size(
           [](Settings & s) -> auto& { return s.shell.caller.max_body_bytes; },
           1024, 16'777'216)});
  table.push_back(
      {"max-answer-bytes", "8388608",
       "Maximum size of an answer that is not streamed", "1024 to 1073741824",
       false, false,
       Size(
           [](Settings & s) -> auto& { return s.shell.max_answer_bytes; }, 1024,
           1'073'741'824)});
  table.push_back(
      {"max-kept-answer-bytes", "1048576",
       "One answer kept for callers that come again", "0 to 1073741824", false,
       false,
       Size(
           [](Settings & s) -> auto& { return s.shell.max_kept_answer_bytes; },
           0, 1'073'741'824)});
  table.push_back(
      {"max-kept-bytes", "134217728", "Maximum total size of kept answers",
       "0 to 17179869184", false, false,
       Size(
           [](Settings & s) -> auto& { return s.shell.max_kept_bytes; }, 0,
           17'179'869'184)});
}

void AddTimes(std::vector<SettingSpec>& table) {
  const auto add = [&table](std::string name, std::string default_value,
                            std::string help,
                            std::function<milliseconds&(Settings&)> field) {
    table.push_back({std::move(name), std::move(default_value), std::move(help),
                     kMillisRule, false, false, Millis(std::move(field))});
  };
  add(
      "header-timeout-ms", "10000",
      "Time to receive the complete header of a request",
      [](Settings & s) -> auto& { return s.shell.caller.header_timeout; });
  add(
      "body-timeout-ms", "30000",
      "Time to receive the complete body of a request",
      [](Settings & s) -> auto& { return s.shell.caller.body_timeout; });
  add(
      "idle-timeout-ms", "75000",
      "Idle time between two requests on a connection",
      [](Settings & s) -> auto& { return s.shell.caller.idle_timeout; });
  add(
      "write-timeout-ms", "30000",
      "Time for a caller to accept a part of an answer",
      [](Settings & s) -> auto& { return s.shell.caller.write_timeout; });
  add(
      "connect-timeout-ms", "1000", "Time to connect to an upstream",
      [](Settings & s) -> auto& { return s.shell.connect_timeout; });
  add(
      "log-timeout-ms", "3000", "Time for the log service to answer",
      [](Settings & s) -> auto& { return s.shell.log_timeout; });
  add(
      "probe-timeout-ms", "1000", "Time for an upstream to answer a probe",
      [](Settings & s) -> auto& { return s.shell.probe_timeout; });
  add(
      "order-timeout-ms", "30000", "Time for an engine to acknowledge an order",
      [](Settings & s) -> auto& { return s.shell.order_timeout; });
  add(
      "vm-list-interval-ms", "2000", "Interval between reads of the VM list",
      [](Settings & s) -> auto& { return s.shell.vm_list_interval; });
  add(
      "drain-patience-ms", "30000",
      "Time to return budgets while draining if the log is unavailable",
      [](Settings & s) -> auto& { return s.drain_timeout; });
  add(
      "close-patience-ms", "10000",
      "Time for open connections to finish during shutdown",
      [](Settings & s) -> auto& { return s.shell.close_timeout; });
}

std::vector<SettingSpec> MakeTable() {
  std::vector<SettingSpec> table;
  AddIdentity(table);
  AddAddresses(table);
  AddSecrets(table);
  AddBounds(table);
  AddTimes(table);
  table.push_back({"log-level", "info", "Minimum level of log lines",
                   "info, warning or error", false, false, StoreLogLevel});
  return table;
}

}  // namespace

const std::vector<SettingSpec>& SettingTable() {
  static const std::vector<SettingSpec> table = MakeTable();
  return table;
}

std::string VariableOf(const SettingSpec& spec) {
  std::string variable = "COPPERVALVED_";
  for (const char c : spec.name) {
    const bool letter = c >= 'a' && c <= 'z';
    variable += c == '-' ? '_' : letter ? static_cast<char>(c - 'a' + 'A') : c;
  }
  return variable;
}

}  // namespace coppervalve::daemon
