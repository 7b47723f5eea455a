#include <CppUTest/TestHarness.h>

#include <chrono>   // literals
#include <cstdint>  // uint64_t

#include "coppervalve/core/ids.h"
#include "coppervalve/standin/address.h"
#include "coppervalve/standin/delayed_value.h"
#include "coppervalve/standin/log_store.h"
#include "coppervalve/standin/rate_limiter.h"

using namespace coppervalve;           // NOLINT
using namespace coppervalve::standin;  // NOLINT
using namespace std::chrono_literals;

namespace {

core::TimePoint At(core::Duration since_start) {
  return core::TimePoint(since_start);
}

}  // namespace

// clang-format off
TEST_GROUP(LogStore){};
// clang-format on

TEST(LogStore, the_oldest_entries_are_dropped_and_offsets_stay) {
  LogStore store(3);
  for (uint64_t i = 0; i < 5; ++i) {
    CHECK_EQUAL(i, store.Append("entry").value());
  }
  CHECK_EQUAL(2U, store.first_retained().value());
  const v1::ReadReply gone = store.Read(core::LogOffset(1), 1'000);
  CHECK_EQUAL(0, gone.entries_size());
  CHECK_EQUAL(2U, gone.first_retained());
  CHECK_EQUAL(5U, gone.end());
  const v1::ReadReply kept = store.Read(core::LogOffset(2), 1'000);
  CHECK_EQUAL(3, kept.entries_size());
  CHECK_EQUAL(2U, kept.entries(0).offset());
}

TEST(LogStore, a_read_is_bounded_by_bytes_but_gives_at_least_one_entry) {
  LogStore store(0);
  store.Append("12345");
  store.Append("12345");
  store.Append("12345");
  CHECK_EQUAL(1, store.Read(core::LogOffset(0), 1).entries_size());
  CHECK_EQUAL(2, store.Read(core::LogOffset(0), 10).entries_size());
  CHECK_EQUAL(0, store.Read(core::LogOffset(3), 10).entries_size());
}

TEST(LogStore, appends_past_the_cap_are_refused_until_the_next_second) {
  RateLimiter limiter(2);
  CHECK(limiter.Admit(At(0ms)));
  CHECK(limiter.Admit(At(1ms)));
  CHECK(!limiter.Admit(At(999ms)));
  CHECK(limiter.Admit(At(1s)));
}

TEST(LogStore, a_lagging_value_shows_each_change_after_the_lag) {
  DelayedValue<int> value(100ms, 1);
  value.Set(At(0ms), 2);
  value.Set(At(50ms), 3);
  CHECK_EQUAL(1, value.Get(At(99ms)));
  CHECK_EQUAL(2, value.Get(At(100ms)));
  CHECK_EQUAL(3, value.Get(At(150ms)));
}

TEST(LogStore, only_loopback_addresses_are_taken) {
  CHECK_EQUAL(7100, core::Value(ParseAddress("127.0.0.1:7100")).port);
  CHECK(!core::IsOk(ParseAddress("0.0.0.0:7100")));
  CHECK(!core::IsOk(ParseAddress("127.0.0.1")));
  CHECK(!core::IsOk(ParseAddress("127.0.0.1:0")));
  CHECK(!core::IsOk(ParseAddress("127.0.0.1:70000")));
}
