#include <CppUTest/TestHarness.h>

#include <chrono>   // literals
#include <cstdint>  // uint64_t
#include <string>   // to_string
#include <vector>   // vector

#include "coppervalve/logclient/snapshot_policy.h"
#include "fake_log.h"

using namespace coppervalve;             // NOLINT
using namespace coppervalve::logclient;  // NOLINT
using namespace std::chrono_literals;

namespace {

std::vector<core::RouterId> SevenRouters() {
  std::vector<core::RouterId> routers;
  for (int i = 1; i <= 7; ++i) {
    routers.emplace_back("router-" + std::to_string(i));
  }
  return routers;
}

std::vector<SnapshotPolicy> PoliciesOf(
    const std::vector<core::RouterId>& routers) {
  std::vector<SnapshotPolicy> policies;
  policies.reserve(routers.size());
  for (const core::RouterId& router : routers) {
    policies.emplace_back(router, SnapshotOptions{});
  }
  return policies;
}

LogRange Range(uint64_t first_retained, uint64_t next) {
  return {core::LogOffset(first_retained), core::LogOffset(next)};
}

}  // namespace

// clang-format off
TEST_GROUP(SnapshotPolicy){};
// clang-format on

TEST(SnapshotPolicy, exactly_one_of_seven_routers_writes_each_snapshot) {
  const std::vector<core::RouterId> routers = SevenRouters();
  std::vector<SnapshotPolicy> policies = PoliciesOf(routers);
  for (uint64_t next = 1'000; next <= 20'000; next += 1'000) {
    const LogRange range = Range(next - 1'000, next);
    int writers = 0;
    for (SnapshotPolicy& policy : policies) {
      writers += policy.IsDue(At(0s), range, routers) ? 1 : 0;
    }
    CHECK_EQUAL(1, writers);
    for (SnapshotPolicy& policy : policies) {
      policy.OnSnapshotSeen(core::LogOffset(next));
    }
  }
}

// The router ranked first has crashed but is not retired yet. The others take
// over one after the other until a snapshot is seen.
TEST(SnapshotPolicy, a_dead_writer_is_followed_by_the_next_in_rank) {
  const std::vector<core::RouterId> routers = SevenRouters();
  std::vector<SnapshotPolicy> policies = PoliciesOf(routers);
  const LogRange range = Range(0, 1'000);
  std::vector<int> writers_by_turn(7, 0);
  for (int turn = 0; turn < 7; ++turn) {
    for (SnapshotPolicy& policy : policies) {
      writers_by_turn[static_cast<size_t>(turn)] +=
          policy.IsDue(At(turn * 5s), range, routers) ? 1 : 0;
    }
  }
  for (const int writers : writers_by_turn) {
    CHECK_EQUAL(1, writers);
  }
}

TEST(SnapshotPolicy, the_spacing_follows_the_retained_range) {
  const SnapshotPolicy policy(core::RouterId("router-1"), {});
  CHECK_EQUAL(256U, policy.Spacing(Range(0, 100)));
  CHECK_EQUAL(1'000U, policy.Spacing(Range(0, 4'000)));
  CHECK_EQUAL(50U, policy.Spacing(Range(800, 1'000)));
}

TEST(SnapshotPolicy, a_snapshot_above_the_bound_is_refused) {
  SnapshotOptions options;
  options.max_bytes = core::Bytes(100);
  const SnapshotPolicy policy(core::RouterId("router-1"), options);
  CHECK(core::IsOk(policy.CheckSize(core::Bytes(100))));
  const core::Status refused = policy.CheckSize(core::Bytes(101));
  CHECK(core::Failure(refused).id == core::ErrorId::kSnapshotInvalid);
}
