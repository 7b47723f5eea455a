#include <cstdio>       // fputs
#include <cstdlib>      // _Exit
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/error.h"
#include "daemon.h"
#include "platform/run.h"
#include "settings.h"

namespace {

constexpr int kUsageExit = 2;
constexpr std::string_view kPlatformMode = "platform";

int Fail(const coppervalve::core::Error& error) {
  const std::string line = coppervalve::core::ToString(error) + "\n";
  std::fputs(line.c_str(), stderr);
  return kUsageExit;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace coppervalve;
  // The entry router takes its settings from where it runs, not from flags.
  if (argc == 2 && std::string_view(argv[1]) == kPlatformMode) {
    const core::Status ended = platform::Run();
    return core::IsOk(ended) ? EXIT_SUCCESS : Fail(core::Failure(ended));
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
  // Without running destructors: the thread that waits for signals still uses
  // what they would take away.
  std::_Exit(EXIT_SUCCESS);
}
