#include <google/protobuf/stubs/logging.h>

#include <cstdio>       // fputs
#include <cstdlib>      // abort, _Exit
#include <exception>    // current_exception, set_terminate
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/error.h"
#include "coppervalve/net/process_signals.h"
#include "daemon.h"
#include "platform/run.h"
#include "settings.h"

namespace {

constexpr int kUsageExit = 2;
constexpr std::string_view kPlatformMode = "platform";
constexpr std::string_view kPolicyFlag = "--policy";

int Fail(const coppervalve::core::Error& error) {
  const std::string line = coppervalve::core::ToString(error) + "\n";
  std::fputs(line.c_str(), stderr);
  return kUsageExit;
}

// Without a reason on record, an uncaught exception can't be told from an
// invalid access or from a lack of memory.
[[noreturn]] void OnTerminate() {
  const char* why = "no exception";
  if (const std::exception_ptr thrown = std::current_exception()) {
    why = "unknown exception";
    try {
      std::rethrow_exception(thrown);
    } catch (const std::exception& error) {
      why = error.what();
    } catch (...) {
    }
  }
  std::fputs("{\"event\":\"terminated\",\"why\":\"", stderr);
  std::fputs(why, stderr);
  std::fputs("\"}\n", stderr);
  std::abort();
}

// Runs the entry router, which reads its settings from the platform and not
// from flags. The policy flag is for experiments only.
int RunOnPlatform(int argc, char** argv) {
  using namespace coppervalve;
  std::string_view changes;
  if (argc == 4 && std::string_view(argv[2]) == kPolicyFlag) {
    changes = argv[3];
  } else if (argc != 2) {
    return Fail({core::ErrorId::kSettingBadValue, argv[2],
                 "allowed: --policy name=number,..."});
  }
  const core::Result<entry::Policy> policy = entry::ParsePolicy(changes);
  if (!core::IsOk(policy)) {
    return Fail(core::Failure(policy));
  }
  // Protobuf would log an unbounded line for each malformed message. Our own
  // log lines already report what was malformed.
  google::protobuf::SetLogHandler(nullptr);
  const core::Status ended = platform::Run(core::Value(policy));
  return core::IsOk(ended) ? EXIT_SUCCESS : Fail(core::Failure(ended));
}

}  // namespace

int main(int argc, char** argv) {
  using namespace coppervalve;
  // Until there are handlers, a signal would end the process.
  net::BlockSupervisorSignals();
  net::IgnoreWriteSignals();
  std::set_terminate(OnTerminate);
  if (argc >= 2 && std::string_view(argv[1]) == kPlatformMode) {
    return RunOnPlatform(argc, argv);
  }
  const core::Result<daemon::CommandLine> read =
      daemon::ReadCommandLine(argc, argv);
  if (!core::IsOk(read)) {
    return Fail(core::Failure(read));
  }
  const daemon::CommandLine& line = core::Value(read);
  if (line.mode != daemon::CommandLine::Mode::kRun) {
    std::fputs(line.text.c_str(), stdout);
    return EXIT_SUCCESS;
  }
  const core::Status ran = daemon::RunDaemon(line.settings);
  if (!core::IsOk(ran)) {
    return Fail(core::Failure(ran));
  }
  std::fflush(stdout);
  // Skip destructors of static objects, because the signal thread still uses
  // them.
  std::_Exit(EXIT_SUCCESS);
}
