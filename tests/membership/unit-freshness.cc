#include <CppUTest/TestHarness.h>

#include "coppervalve/membership/freshness.h"
#include "fleet.h"

using namespace coppervalve;
using namespace coppervalve::membership;

namespace {

constexpr core::Duration kBound = 8 * kSecond;
constexpr core::ConfigVersion kVersion{5};

PeerLogReport ReadAt(core::TimePoint read, uint64_t version = 5) {
  return {true, true, read, read, core::ConfigVersion(version)};
}

PeerLogReport Unreachable() {
  return {false, true, std::nullopt, std::nullopt, kVersion};
}

FreshnessInputs Inputs(size_t live, std::vector<PeerLogReport> log_reports) {
  return {kVersion, live, false, std::move(log_reports)};
}

void ExpectFresh(const FreshnessVerdict& verdict, FreshBasis basis) {
  const Fresh* fresh = std::get_if<Fresh>(&verdict);
  CHECK(fresh != nullptr);
  CHECK(fresh->basis == basis);
}

void ExpectStale(const FreshnessVerdict& verdict, StaleReason why) {
  const Stale* stale = std::get_if<Stale>(&verdict);
  CHECK(stale != nullptr);
  CHECK(stale->why == why);
}

}  // namespace

TEST_GROUP(Freshness) {
  Freshness m_freshness{kBound};
  core::TimePoint m_later = kStart + kBound + kMillisecond;
};

TEST(Freshness, a_router_that_never_read_to_the_end_is_stale) {
  ExpectStale(m_freshness.Evaluate(kStart, Inputs(1, {})),
              StaleReason::kNeverRead);
}

TEST(Freshness, own_reading_keeps_a_router_fresh_up_to_the_bound) {
  m_freshness.OnReadToEnd(kStart);
  ExpectFresh(m_freshness.Evaluate(kStart + kBound, Inputs(3, {})),
              FreshBasis::kOwnReading);
  ExpectStale(m_freshness.Evaluate(m_later, Inputs(3, {})),
              StaleReason::kMinority);
}

// A router resumes after a pause of an hour. Its clock advanced, so it refuses
// work until it has read again; the late reply of a read from before the pause
// must not count.
TEST(Freshness, a_resumed_router_is_stale_until_it_has_read_anew) {
  m_freshness.OnReadToEnd(kStart);
  const core::TimePoint resumed = kStart + 3'600 * kSecond;
  m_freshness.OnReadToEnd(kStart + kSecond);
  ExpectStale(m_freshness.Evaluate(resumed, Inputs(3, {})),
              StaleReason::kMinority);
  m_freshness.OnReadToEnd(resumed + kSecond);
  ExpectFresh(m_freshness.Evaluate(resumed + kSecond, Inputs(3, {})),
              FreshBasis::kOwnReading);
}

TEST(Freshness, a_router_cut_off_from_the_log_is_fresh_if_a_peer_confirms) {
  m_freshness.OnReadToEnd(kStart);
  ExpectFresh(m_freshness.Evaluate(m_later, Inputs(3, {ReadAt(m_later)})),
              FreshBasis::kConfirmedByPeer);
}

// A router is cut off from the log while its peers read it. One has a newer
// configuration, so this router must not continue under its own.
TEST(Freshness, a_peer_with_a_newer_version_makes_it_stale) {
  m_freshness.OnReadToEnd(kStart);
  ExpectStale(m_freshness.Evaluate(
                  m_later, Inputs(3, {ReadAt(m_later), ReadAt(kStart, 6)})),
              StaleReason::kNewerVersion);
  ExpectStale(m_freshness.Evaluate(m_later, Inputs(3, {ReadAt(m_later, 4)})),
              StaleReason::kNotConfirmed);
}

// The log is unavailable for all routers and the fleet is partitioned four to
// three. The four continue; the three refuse work, because one of the four may
// have read a newer configuration.
TEST(Freshness, without_the_log_only_the_majority_continues) {
  m_freshness.OnReadToEnd(kStart);
  const PeerLogReport old = ReadAt(kStart);
  std::vector<PeerLogReport> peers = {
      old, old, old, Unreachable(), Unreachable(), Unreachable()};
  ExpectFresh(m_freshness.Evaluate(m_later, Inputs(7, peers)),
              FreshBasis::kLogUnavailable);
  peers[2] = Unreachable();
  ExpectStale(m_freshness.Evaluate(m_later, Inputs(7, peers)),
              StaleReason::kMinority);
  ExpectStale(m_freshness.Evaluate(m_later, Inputs(2, {Unreachable()})),
              StaleReason::kMinority);
}

// A peer reports that it reads the log, but the heartbeat may be a late one. It
// confirms nothing, but the log cannot be assumed to be unavailable for all.
TEST(Freshness, a_peer_that_reports_reading_rules_out_an_outage_for_all) {
  m_freshness.OnReadToEnd(kStart);
  PeerLogReport claims = ReadAt(kStart);
  claims.claimed_read_to_end = m_later;
  ExpectStale(
      m_freshness.Evaluate(m_later, Inputs(3, {claims, ReadAt(kStart)})),
      StaleReason::kNotConfirmed);
}

TEST(Freshness, in_a_large_fleet_nearly_all_sampled_peers_must_be_reachable) {
  m_freshness.OnReadToEnd(kStart);
  FreshnessInputs inputs = Inputs(840, std::vector(8, ReadAt(kStart)));
  inputs.sampled = true;
  inputs.log_reports[0] = Unreachable();
  ExpectFresh(m_freshness.Evaluate(m_later, inputs),
              FreshBasis::kLogUnavailable);
  inputs.log_reports[1] = Unreachable();
  ExpectStale(m_freshness.Evaluate(m_later, inputs), StaleReason::kMinority);
}

TEST(Freshness, staleness_reports_its_start) {
  m_freshness.OnReadToEnd(kStart);
  m_freshness.Evaluate(m_later, Inputs(3, {}));
  const FreshnessVerdict verdict =
      m_freshness.Evaluate(m_later + kSecond, Inputs(3, {}));
  CHECK(std::get<Stale>(verdict).since == m_later);
}
