#include <CppUTest/TestHarness.h>

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
