#include "coppervalve/entry/read_plan.h"

#include <algorithm>  // min

namespace coppervalve::entry {

namespace {

constexpr uint32_t kMostDoublings = 4;
// A refusal comes at once. If no answer came for longer than this, the reader
// was cut off or the store is far behind.
constexpr core::Duration kSilence{1'500'000};
// A store that refuses a call, even a slow one, answers sooner than this.
constexpr core::Duration kUnanswered{350'000};
// Pages of newest records are text: a record takes this much more space.
constexpr double kCostInPage = 1.5;
// The largest record that the store accepts, so that one fits.
constexpr size_t kConfigurationBytes = 256 * 1024;
// If versions follow each other quickly, the fleet need not read each one.
constexpr core::Duration kConfigurationPause{200'000};
constexpr core::Duration kUpstreamPause{300'000};
// A few seconds of heartbeats of hundreds of routers, which take 0.1 s on the
// link of a small VM.
constexpr size_t kBeatBytes = 256 * 1024;
constexpr core::Duration kBeatPause{250'000};

}  // namespace

ReadPlanOptions ConfigurationPlan() {
  ReadPlanOptions plan;
  plan.pause = kConfigurationPause;
  plan.most_bytes = kConfigurationBytes;
  return plan;
}

ReadPlanOptions UpstreamPlan() {
  ReadPlanOptions plan;
  plan.pause = kUpstreamPause;
  return plan;
}

ReadPlanOptions BeatPlan() {
  ReadPlanOptions plan;
  plan.pause = kBeatPause;
  plan.most_bytes = kBeatBytes;
  plan.only_newest_matters = false;
  return plan;
}

ReadStep ReadPlan::StartOver() {
  m_has_newest = false;
  return {ReadStep::Call::kFirstPage, {}, false};
}

void ReadPlan::OnPage(core::TimePoint now) {
  m_failures = 0;
  m_answered = now;
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
  m_answered = now;
  m_next = next;
  const uint64_t behind = end > next ? end - next : 0;
  const bool newest_costs_less =
      static_cast<double>(behind) > static_cast<double>(m_keys) * kCostInPage;
  // A record larger than one read would be requested forever.
  const bool stuck = empty && behind > 0;
  if (newest_costs_less || stuck) {
    return StartOver();
  }
  if (empty || behind > 0) {
    return {ReadStep::Call::kRecords, {}, false};
  }
  return {ReadStep::Call::kRecords, pause, true};
}

ReadStep ReadPlan::OnGap() {
  return StartOver();
}

// Without jitter all routers would retry at the same moments when the store
// returns, and be rejected together. The backoff grows while the store refuses
// calls. A call without any answer was already a long enough wait, and a router
// that keeps waiting after a partition refuses callers for as long.
ReadStep ReadPlan::OnFailure(double draw,
                             core::TimePoint began,
                             core::TimePoint now) {
  const auto factor = 1U << std::min(m_failures, kMostDoublings);
  ++m_failures;
  const bool unanswered = now - began >= kUnanswered;
  const core::Duration backoff =
      unanswered ? m_options.first_backoff
                 : std::min(m_options.first_backoff * factor,
                            m_options.longest_backoff);
  const auto random =
      static_cast<int64_t>(static_cast<double>(backoff.count()) * draw);
  const core::Duration delay = backoff / 2 + core::Duration(random);
  const bool silent = m_answered && now - *m_answered > kSilence;
  if (m_has_newest && silent && m_options.only_newest_matters) {
    m_has_newest = false;
    return {ReadStep::Call::kFirstPage, delay, false};
  }
  return {m_has_newest ? ReadStep::Call::kRecords : ReadStep::Call::kSamePage,
          delay, false};
}

}  // namespace coppervalve::entry
