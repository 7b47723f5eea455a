#include "coppervalve/gateway/peer_liveness.h"

#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds, seconds

using namespace coppervalve;
using namespace coppervalve::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr core::TimePoint kStart{seconds(100)};

TransportState Unanswered(uint32_t times, core::Duration since_last_ack) {
  TransportState state;
  state.unanswered = times;
  state.since_last_ack = since_last_ack;
  state.unacknowledged = 1'000;
  return state;
}

}  // namespace

// clang-format off
TEST_GROUP(PeerLiveness) {
  PeerLiveness liveness;
  void setup() override { liveness.Start(0, kStart); }
};
// clang-format on

TEST(PeerLiveness, a_slow_reader_stays) {
  for (int second = 1; second <= 60; ++second) {
    const uint64_t acknowledged = static_cast<uint64_t>(second / 9);
    CHECK_FALSE(liveness.IsGone(Unanswered(0, milliseconds(400)), acknowledged,
                                kStart + seconds(second)));
  }
}

TEST(PeerLiveness, a_reader_with_a_long_pause_between_probes_stays) {
  CHECK_FALSE(
      liveness.IsGone(Unanswered(0, seconds(7)), 0, kStart + seconds(7)));
}

TEST(PeerLiveness, a_peer_that_answers_no_probe_is_gone) {
  CHECK_FALSE(liveness.IsGone(Unanswered(2, milliseconds(2'900)), 0,
                              kStart + seconds(3)));
  CHECK(liveness.IsGone(Unanswered(3, seconds(3)), 0, kStart + seconds(3)));
}

TEST(PeerLiveness, a_peer_that_reads_nothing_is_given_up) {
  CHECK_FALSE(liveness.IsGone(Unanswered(0, milliseconds(100)), 0,
                              kStart + milliseconds(9'900)));
  CHECK(liveness.IsGone(Unanswered(0, milliseconds(100)), 0,
                        kStart + seconds(10)));
}
