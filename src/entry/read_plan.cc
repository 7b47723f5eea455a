#include "coppervalve/entry/read_plan.h"

#include <algorithm>  // max, min

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
constexpr core::Duration kPagePatience{1'200'000};
constexpr core::Duration kReadPatience{800'000};
constexpr uint32_t kMaxPatienceDoublings = 2;
// As often as a long poll ends without a record.
constexpr core::Duration kPeekInterval{1'000'000};
// Leaves the other half to pages, which are larger than the records in them,
// and to the other topics.
constexpr double kMaxStoreShare = 0.5;
// In less time than this, the store sends a record to all readers.
constexpr core::Duration kMinInterval{200'000};

bool IsPage(ReadStep::Call call) {
  return call == ReadStep::Call::kFirstNewestPage ||
         call == ReadStep::Call::kRepeatPage;
}

core::Duration Part(core::Duration whole, double part) {
  return core::Duration(
      static_cast<int64_t>(static_cast<double>(whole.count()) * part));
}

bool IsLarge(ReadStep::Call call) {
  return IsPage(call) || call == ReadStep::Call::kRecords;
}

}  // namespace

core::Duration ReadInterval(const ReadLoad& load, size_t bytes) {
  if (load.store_bytes_per_second <= 0) {
    return {};
  }
  const double seconds = static_cast<double>(load.readers) *
                         static_cast<double>(bytes) /
                         (load.store_bytes_per_second * kMaxStoreShare);
  const core::Duration interval(static_cast<int64_t>(seconds * 1e6));
  return interval < kMinInterval ? core::Duration::zero() : interval;
}

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

void ReadPlan::SetSpread(core::Duration interval, double position) {
  m_interval = interval;
  m_position = position;
}

// If every reader repeated a read that the store has not come to yet, the store
// would send mostly what nobody waits for any more. Peeks cost it next to
// nothing, so they need no more time.
ReadStep ReadPlan::Make(ReadStep::Call call,
                        core::Duration delay,
                        bool interruptible) {
  m_call = call;
  const core::Duration base = IsPage(call) ? kPagePatience : kReadPatience;
  const bool waits_longer = IsPage(call) || (call == ReadStep::Call::kRecords &&
                                             (spreads() || m_crowded));
  const auto factor =
      waits_longer ? 1U << std::min(m_late, kMaxPatienceDoublings) : 1U;
  return {call, delay, interruptible, base * factor};
}

ReadStep ReadPlan::ReadNext(core::Duration pause, bool interruptible) {
  if (!spreads()) {
    return Make(ReadStep::Call::kRecords, pause, interruptible);
  }
  const core::Duration delay =
      kPeekInterval / 2 + Part(kPeekInterval, m_position);
  return Make(ReadStep::Call::kPeek, delay, false);
}

ReadStep ReadPlan::RestartFromNewest(core::Duration delay) {
  // A spread reader finds out by a peek whether a failed page is still needed.
  m_has_newest = m_has_newest && spreads();
  return Make(ReadStep::Call::kFirstNewestPage, delay, false);
}

void ReadPlan::OnPage(core::TimePoint now) {
  m_failures = 0;
  m_late = 0;
  m_last_answer = now;
}

ReadStep ReadPlan::OnNewest(size_t keys, uint64_t next, core::TimePoint now) {
  OnPage(now);
  m_has_newest = true;
  m_keys = keys;
  m_next = next;
  m_due.reset();
  return ReadNext({}, false);
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
  m_late = 0;
  m_last_answer = now;
  m_next = next;
  const uint64_t behind = end > next ? end - next : 0;
  // A record larger than one read would be requested forever.
  const bool stuck = empty && behind > 0;
  if (spreads() && !stuck) {
    return OnPeek(end, now);
  }
  if (stuck || NewestIsCheaper(behind)) {
    return RestartFromNewest({});
  }
  if (empty || behind > 0) {
    return ReadNext({}, false);
  }
  return ReadNext(pause, true);
}

bool ReadPlan::IsDisconnected(core::TimePoint now) const {
  return m_last_answer && now - *m_last_answer > kMaxSilence;
}

bool ReadPlan::NewestIsCheaper(uint64_t behind) const {
  return static_cast<double>(behind) >
         static_cast<double>(m_keys) * kPageCostFactor;
}

// A long poll would wake all readers at the same moment. If each of a thousand
// then read a configuration, the last ones would time out, and heartbeats and
// claims would wait in the store behind all of them.
ReadStep ReadPlan::OnPeek(uint64_t end, core::TimePoint now) {
  const bool was_disconnected = IsDisconnected(now);
  m_failures = 0;
  m_last_answer = now;
  if (!m_has_newest) {
    return Make(ReadStep::Call::kRepeatPage, {}, false);
  }
  const uint64_t behind = end > m_next ? end - m_next : 0;
  if (!spreads() && m_options.newest_only &&
      (was_disconnected || NewestIsCheaper(behind))) {
    return RestartFromNewest({});
  }
  if (behind == 0 || !spreads()) {
    m_due.reset();
    return ReadNext({}, false);
  }
  if (!m_due) {
    m_due = NextLargeRead(now);
  }
  if (now < *m_due) {
    return Make(ReadStep::Call::kPeek, *m_due - now, false);
  }
  m_due.reset();
  m_last_large = now;
  return NewestIsCheaper(behind) ? RestartFromNewest({})
                                 : Make(ReadStep::Call::kRecords, {}, false);
}

core::TimePoint ReadPlan::NextLargeRead(core::TimePoint now) const {
  // Peeks of the readers are spread over their interval already.
  const core::Duration rest =
      std::max(m_interval - kPeekInterval, core::Duration::zero());
  const core::Duration spread = Part(rest, m_position);
  return m_last_large ? std::max(now + spread, *m_last_large + m_interval)
                      : now + spread;
}

// The store may drop the history of a topic for all readers at once.
ReadStep ReadPlan::OnOffsetExpired(core::TimePoint now) {
  if (!spreads()) {
    return RestartFromNewest({});
  }
  const core::TimePoint due = NextLargeRead(now);
  m_last_large = due;
  return RestartFromNewest(due - now);
}

// Without jitter all routers would retry at the same moments when the store
// returns, and be rejected together. The backoff grows while the store refuses
// calls. It does not grow after calls that got no answer: each of them has
// already taken long enough, and a router that still waits after a partition
// refuses callers meanwhile.
//
// A call without an answer may be late or lost. A lost one must not be waited
// for when the store answers again, and a late one needs more time the next
// time. So a read gets more time only if the store answered a peek since the
// last one, which it does not while it is silent.
ReadStep ReadPlan::OnFailure(double jitter,
                             core::TimePoint started_at,
                             core::TimePoint now) {
  const auto factor = 1U << std::min(m_failures, kMaxDoublings);
  ++m_failures;
  const bool unanswered = now - started_at >= kMaxRefusalTime;
  m_late += unanswered && IsLarge(m_call) ? 1 : 0;
  const core::Duration backoff =
      unanswered ? m_options.first_backoff
                 : std::min(m_options.first_backoff * factor,
                            m_options.longest_backoff);
  const core::Duration delay = backoff / 2 + Part(backoff, jitter);
  m_due.reset();
  if (unanswered) {
    return Make(ReadStep::Call::kPeek, delay, false);
  }
  if (!m_has_newest) {
    return Make(ReadStep::Call::kRepeatPage, delay, false);
  }
  if (IsDisconnected(now) && m_options.newest_only && !spreads()) {
    return RestartFromNewest(delay);
  }
  return Make(spreads() ? ReadStep::Call::kPeek : ReadStep::Call::kRecords,
              delay, false);
}

}  // namespace coppervalve::entry
