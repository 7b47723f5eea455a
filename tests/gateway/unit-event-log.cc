#include "coppervalve/gateway/event_log.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>   // fcntl
#include <unistd.h>  // pipe

#include <array>   // array
#include <string>  // string

using namespace coppervalve::gateway;

// clang-format off
TEST_GROUP(EventLog) {
  boost::asio::io_context io;
  std::array<int, 2> ends{};
  void setup() override { CHECK_EQUAL(0, pipe(ends.data())); }
  void teardown() override {
    close(ends[0]);
    close(ends[1]);
  }
  std::string ReadAll() {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t got = read(ends[0], part.data(), part.size()); got > 0;
         got = read(ends[0], part.data(), part.size())) {
      text.append(part.data(), static_cast<size_t>(got));
    }
    return text;
  }
};
// clang-format on

TEST(EventLog, writes_an_event_as_a_json_line) {
  EventLog log(io, ends[1], {});
  log.Write(LogCategory::kFailure,
            LogLine("request").Text("id", "a\"b\n").Number("status", 503));
  log.Flush();
  const std::string text = ReadAll();
  CHECK(text.find("\"event\":\"request\",\"id\":\"a\\\"b\\u000a\","
                  "\"status\":503}\n") != std::string::npos);
}

TEST(EventLog, a_stopped_reader_causes_neither_blocking_nor_unbounded_memory) {
  // If the reader of standard output stops and each line waits for room in the
  // pipe, all callers wait and the process grows until it is killed.
  EventLog log(io, ends[1], {});
  const std::string padding(200, 'x');
  for (int i = 0; i < 20'000; ++i) {
    log.Write(LogCategory::kFailure, LogLine("request").Text("id", padding));
    log.Flush();
  }
  CHECK(log.buffered_bytes() <= EventLog::Bounds{}.buffered_bytes[1]);
  CHECK(log.dropped() > 0);
}

TEST(EventLog, reports_the_number_of_dropped_lines) {
  EventLog::Bounds bounds;
  bounds.lines_per_second = {1, 1, 1};
  EventLog log(io, ends[1], bounds);
  for (int i = 0; i < 10; ++i) {
    log.Write(LogCategory::kRoutine, LogLine("request"));
  }
  log.Flush();
  log.Flush();
  CHECK(ReadAll().find("log_lines_left_out") != std::string::npos);
}

TEST(EventLog, routine_lines_are_dropped_before_failures) {
  EventLog::Bounds bounds;
  bounds.buffered_bytes = {200, 2'000, 2'000};
  EventLog log(io, ends[1], bounds);
  for (int i = 0; i < 10; ++i) {
    log.Write(LogCategory::kRoutine, LogLine("served"));
  }
  const size_t before = log.buffered_bytes();
  log.Write(LogCategory::kFailure, LogLine("refused"));
  CHECK(log.buffered_bytes() > before);
}
