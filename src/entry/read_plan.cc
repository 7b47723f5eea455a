#include "coppervalve/entry/read_plan.h"

#include <algorithm>  // min

namespace coppervalve::entry {

namespace {

constexpr uint32_t kMaxDoublings = 4;
// A refusal by the store arrives at once. If no answer came for longer than
// this, the reader was disconnected or the store is far behind.
constexpr core::Duration kMaxSilence{1'500'000};
// A store that refuses a call, even a slow one, answers sooner than this.
constexpr core::Duration kMaxRefusalTime{350'000};
// Pages of newest records are text: a record takes this much more space.
constexpr double kPageCostFactor = 1.5;
// The largest record that the store accepts, so that one fits.
constexpr size_t kMaxConfigurationBytes = 256 * 1024;
// If versions follow each other quickly, the fleet need not read each one.
constexpr core::Duration kConfigurationPause{200'000};
constexpr core::Duration kUpstreamPause{300'000};
// A few seconds of heartbeats of hundreds of routers, which take 0.1 s on the
// link of a small VM.
constexpr size_t kMaxHeartbeatBytes = 256 * 1024;
constexpr core::Duration kHeartbeatPause{250'000};

}  // namespace

ReadPlanOptions ConfigurationPlan() {
  ReadPlanOptions plan;
  plan.pause = kConfigurationPause;
  plan.max_bytes = kMaxConfigurationBytes;
  return plan;
}

ReadPlanOptions UpstreamPlan() {
  ReadPlanOptions plan;
  plan.pause = kUpstreamPause;
  return plan;
}

ReadPlanOptions HeartbeatPlan() {
  ReadPlanOptions plan;
  plan.pause = kHeartbeatPause;
  plan.max_bytes = kMaxHeartbeatBytes;
  plan.newest_only = false;
  return plan;
}

ReadStep ReadPlan::RestartFromNewest() {
  m_has_newest = false;
  return {ReadStep::Call::kFirstNewestPage, {}, false};
}

void ReadPlan::OnPage(core::TimePoint now) {
  m_failures = 0;
  m_last_answer = now;
}

ReadStep ReadPlan::OnNewest(size_t keys, uint64_t next, core::TimePoint now) {
  OnPage(now);
  m_has_newest = true;
  m_keys = keys;
  m_next = next;
  return {ReadStep::Call::kRecords, {}, false};
}

// Reading record by record what hundreds of routers missed in a common outage
// takes longer than writing it took: a configuration already in force would
// reach none of them for seconds, behind eighteen older ones.
ReadStep ReadPlan::OnBatch(bool empty,
                           uint64_t next,
                           uint64_t end,
                           core::Duration pause,
                           core::TimePoint now) {
  m_failures = 0;
  m_last_answer = now;
  m_next = next;
  const uint64_t behind = end > next ? end - next : 0;
  const bool newest_is_cheaper = static_cast<double>(behind) >
                                 static_cast<double>(m_keys) * kPageCostFactor;
  // A record larger than one read would be requested forever.
  const bool stuck = empty && behind > 0;
  if (newest_is_cheaper || stuck) {
    return RestartFromNewest();
  }
  if (empty || behind > 0) {
    return {ReadStep::Call::kRecords, {}, false};
  }
  return {ReadStep::Call::kRecords, pause, true};
}

ReadStep ReadPlan::OnOffsetExpired() {
  return RestartFromNewest();
}

// Without jitter all routers would retry at the same moments when the store
// returns, and be rejected together. The backoff grows while the store refuses
// calls. It does not grow after calls that got no answer: each of them has
// already taken long enough, and a router that still waits after a partition
// refuses callers meanwhile.
ReadStep ReadPlan::OnFailure(double jitter,
                             core::TimePoint started_at,
                             core::TimePoint now) {
  const auto factor = 1U << std::min(m_failures, kMaxDoublings);
  ++m_failures;
  const bool unanswered = now - started_at >= kMaxRefusalTime;
  const core::Duration backoff =
      unanswered ? m_options.first_backoff
                 : std::min(m_options.first_backoff * factor,
                            m_options.longest_backoff);
  const auto random =
      static_cast<int64_t>(static_cast<double>(backoff.count()) * jitter);
  const core::Duration delay = backoff / 2 + core::Duration(random);
  const bool silent = m_last_answer && now - *m_last_answer > kMaxSilence;
  if (m_has_newest && silent && m_options.newest_only) {
    m_has_newest = false;
    return {ReadStep::Call::kFirstNewestPage, delay, false};
  }
  return {m_has_newest ? ReadStep::Call::kRecords : ReadStep::Call::kRepeatPage,
          delay, false};
}

}  // namespace coppervalve::entry
