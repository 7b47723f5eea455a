#include <CppUTest/TestHarness.h>
#include <fcntl.h>   // fcntl
#include <unistd.h>  // dup, dup2, pipe, read

#include <array>     // array
#include <atomic>    // atomic
#include <chrono>    // milliseconds
#include <cstdio>    // fflush
#include <iostream>  // cout
#include <string>    // string
#include <thread>    // thread

#include "coppervalve/telemetry/log.h"

using namespace coppervalve;
using namespace coppervalve::telemetry;

// clang-format off
TEST_GROUP(Log){};
// clang-format on

TEST(Log, an_event_is_one_line_of_json) {
  const std::chrono::system_clock::time_point time(
      std::chrono::milliseconds(1'764'676'800'042));
  const router::LogLine line{router::LogLine::Level::kWarning,
                             "decision",
                             {{"rule", "gate"}, {"upstream", "m1"}}};
  STRCMP_EQUAL(
      R"({"time":"2025-12-02T12:00:00.042Z","level":"warning",)"
      R"("event":"decision","fields":{"rule":"gate","upstream":"m1"}})",
      FormatLine(time, line).c_str());
}

TEST(Log, text_of_a_caller_cannot_forge_a_line) {
  // A caller sends a model name that contains a newline and a forged log line.
  // Without escaping, the log would show a decision that was never made.
  const router::LogLine line{router::LogLine::Level::kInfo,
                             "decision",
                             {{"model", "x\"}}\n{\"event\":\"forged\"}"}}};
  const std::string text = FormatLine({}, line);
  CHECK(text.find('\n') == std::string::npos);
  CHECK(text.find(R"(x\"}}\u000a{\"event\")") != std::string::npos);
}

namespace {

// Standard output is a pipe that nobody reads, until the end of this object.
class UnreadOutput {
 public:
  UnreadOutput() : m_before(dup(STDOUT_FILENO)) {
    std::fflush(stdout);
    CHECK_EQUAL(0, pipe(m_pipe.data()));
    fcntl(m_pipe[0], F_SETPIPE_SZ, 4'096);
    fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    dup2(m_pipe[1], STDOUT_FILENO);
    close(m_pipe[1]);
  }
  ~UnreadOutput() {
    dup2(m_before, STDOUT_FILENO);
    close(m_before);
    close(m_pipe[0]);
  }
  UnreadOutput(const UnreadOutput&) = delete;
  UnreadOutput& operator=(const UnreadOutput&) = delete;
  // Lets a write that waits end.
  void Read() const {
    std::array<char, 4'096> bytes{};
    static_cast<void>(read(m_pipe[0], bytes.data(), bytes.size()));
  }

 private:
  int m_before;
  std::array<int, 2> m_pipe{};
};

}  // namespace

// Guards against a router that stops as nobody reads its log.
TEST(Log, a_log_that_nobody_reads_stops_no_thread) {
  constexpr int kLines = 100;  // more than the pipe takes
  bool stopped = false;
  {
    const UnreadOutput output;
    OpenLog(router::LogLine::Level::kInfo);
    std::atomic<int> written{0};
    std::thread writer([&written] {
      for (int i = 0; i < kLines; ++i) {
        WriteLine({router::LogLine::Level::kInfo,
                   "routed",
                   {{"why", std::string(100, 'x')}}});
        ++written;
      }
    });
    std::this_thread::sleep_for(std::chrono::seconds(2));
    stopped = written < kLines;
    while (written < kLines) {
      output.Read();
    }
    writer.join();
  }
  CHECK_FALSE(stopped);
}
