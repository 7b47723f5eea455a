#include "coppervalve/gateway/read_barrier.h"

#include <CppUTest/TestHarness.h>

#include <chrono>    // milliseconds
#include <memory>    // make_shared, shared_ptr
#include <optional>  // optional

#include "fake_store.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP(ReadBarrier) {
  boost::asio::io_context io;
  FakeStore store{io};
  KeyedStore calls = store.Calls();
  int behind = 0;
  std::shared_ptr<ReadBarrier> barrier = std::make_shared<ReadBarrier>(
      io, calls, "table",
      ReadBarrier::Hooks{[this] { ++behind; }, [](bool) {}});
  std::optional<bool> first;
  std::optional<bool> second;

  void Wait(std::optional<bool>& result) {
    barrier->Wait([&result](bool passed) { result = passed; });
  }
  void Pass(int millis) {
    io.restart();
    io.run_for(std::chrono::milliseconds(millis));
  }
};
// clang-format on

TEST(ReadBarrier, passes_if_all_records_have_been_read) {
  store.Put("table", "a", "1");
  barrier->OnRead(1);
  Wait(first);
  Pass(50);
  CHECK(first.value_or(false));
  CHECK_EQUAL(0, behind);
}

TEST(ReadBarrier, waits_for_a_record_that_was_written_before) {
  store.Put("table", "a", "1");
  Wait(first);
  store.Put("table", "b", "1");
  Pass(50);
  CHECK_FALSE(first.has_value());
  CHECK_EQUAL(1, behind);
  barrier->OnRead(0);
  CHECK_FALSE(first.has_value());
  barrier->OnRead(1);
  CHECK(first.value_or(false));
}

// Guards against an end of the log that is older than a caller's request.
TEST(ReadBarrier, a_later_caller_waits_for_a_later_end) {
  store.Put("table", "a", "1");
  Wait(first);
  Pass(50);
  store.Put("table", "b", "1");
  Wait(second);
  barrier->OnRead(1);
  Pass(50);
  CHECK(first.value_or(false));
  CHECK_FALSE(second.has_value());
  barrier->OnRead(2);
  CHECK(second.value_or(false));
}

// Guards against callers who wait for a store or a reader that has stopped.
TEST(ReadBarrier, ends_in_time_without_an_answer_or_without_reads) {
  store.silent = true;
  Wait(first);
  Pass(500);
  Wait(second);
  Pass(400);
  CHECK_FALSE(first.value_or(true));
  CHECK_FALSE(second.value_or(true));
  store.silent = false;
  store.Put("table", "a", "1");
  first.reset();
  Wait(first);
  Pass(900);
  CHECK_FALSE(first.value_or(true));
}
