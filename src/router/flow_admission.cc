#include <algorithm>  // find, upper_bound
#include <utility>    // move
#include <variant>    // get_if

#include "coppervalve/router/detail/request_flow.h"

namespace coppervalve::router::detail {

using core::Error;
using core::ErrorId;
using core::RequestId;
using core::TimePoint;
using core::Tokens;

namespace {

/// Retry-After for an exhausted budget: a top-up takes effect within seconds.
constexpr core::Duration kRetryAfterTopUp = std::chrono::seconds(10);
/// Retry-After for a busy budget: other routers return tokens within about this
/// time.
constexpr core::Duration kRetryWhenBusy = std::chrono::seconds(1);
constexpr core::Duration kRetryAfterOutage = std::chrono::seconds(2);

uint32_t PriorityOf(v1::AdmissionClass admission_class) {
  switch (admission_class) {
    case v1::GATE:
      return 0;
    case v1::INTERACTIVE:
      return 1;
    default:
      return 2;
  }
}

core::Duration RetryAfterFor(ErrorId id) {
  return id == ErrorId::kBudgetExhausted ? kRetryAfterTopUp : kRetryWhenBusy;
}

}  // namespace

// Tokens are reserved before a request is queued, so a queued request can
// always start and an account short of tokens never blocks the queue for other
// accounts.
void RequestFlow::ReserveTokens(TimePoint now, Work& work) {
  const Tokens bound = m_dependencies.configured.CostBound(
      work.route.candidates, work.prompt_bound, work.max_output);
  const budget::ReserveResult result = m_dependencies.holding_manager.Reserve(
      now, work.budget, bound, work.route.admission_class);
  if (const auto* reserved = std::get_if<budget::Reservation>(&result)) {
    work.reservation = *reserved;
    Enqueue(now, work);
    return;
  }
  if (const auto* error = std::get_if<Error>(&result)) {
    GiveUp(now, work, *error, RetryAfterFor(error->id));
    return;
  }
  work.stage = Stage::kTokens;
  std::deque<RequestId>& waiting = m_waiting[work.budget];
  const bool waits_already =
      std::find(waiting.begin(), waiting.end(), work.id) != waiting.end();
  if (waits_already) {
    return;
  }
  // GATE work goes first; each class is in order of arrival.
  const auto later = std::upper_bound(
      waiting.begin(), waiting.end(), PriorityOf(work.route.admission_class),
      [this](uint32_t priority, RequestId other) {
        const Work* known = Find(other);
        return known != nullptr &&
               priority < PriorityOf(known->route.admission_class);
      });
  waiting.insert(later, work.id);
  m_deadlines.emplace(work.start_by, work.id);
}

void RequestFlow::WakeWaiters(TimePoint now) {
  for (const core::BudgetId& budget :
       m_dependencies.holding_manager.TakeWokenBudgets()) {
    const auto found = m_waiting.find(budget);
    if (found == m_waiting.end()) {
      continue;
    }
    // Each waiting request is tried once; the rest keep their order.
    std::deque<RequestId> trying = std::move(found->second);
    m_waiting.erase(found);
    for (const RequestId id : trying) {
      Work* work = Find(id);
      if (work == nullptr || work->stage != Stage::kTokens) {
        continue;
      }
      ReserveTokens(now, *work);
    }
  }
}

void RequestFlow::ExpireWaiters(TimePoint now) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const RequestId id = m_deadlines.begin()->second;
    m_deadlines.erase(m_deadlines.begin());
    Work* work = Find(id);
    if (work == nullptr || work->start_by > now) {
      continue;
    }
    if (work->stage == Stage::kTokens) {
      GiveUp(now, *work,
             {ErrorId::kBudgetBusy, work->budget.value(),
              "no tokens became available within the queue time limit"},
             kRetryWhenBusy);
    } else if (work->stage == Stage::kClaim) {
      // The claim may still win later. It then names this incarnation, whose
      // table has the key as not run, so only this router may run a retry.
      GiveUp(now, *work,
             {ErrorId::kClaimUnavailable, work->account.value(),
              "the log did not answer within the queue time limit"},
             kRetryAfterOutage);
    }
  }
}

void RequestFlow::Enqueue(TimePoint now, Work& work) {
  work.stage = Stage::kQueue;
  m_table.OnQueued(now, work.id);
  routing::QueueEntry entry;
  entry.request = work.id;
  entry.account = work.account;
  entry.pool = routing::PoolOf(work.target);
  entry.lane = routing::LaneOf(work.target, work.route.rule);
  entry.admission_class = work.route.admission_class;
  entry.start_by = work.start_by;
  const routing::OfferOutcome outcome = m_queue.Offer(entry, now);
  if (outcome.displaced.has_value()) {
    const routing::QueueRefusal& displaced = *outcome.displaced;
    if (Work* other = Find(displaced.request)) {
      GiveUp(now, *other, displaced.refusal.error,
             displaced.refusal.retry_after);
    }
  }
  if (outcome.refused.has_value()) {
    GiveUp(now, work, outcome.refused->error, outcome.refused->retry_after);
  }
}

void RequestFlow::DrainQueue(TimePoint now) {
  do {
    m_queue.Drain(now, [this, now](const routing::QueueEntry& entry) {
      return TryStart(now, entry);
    });
  } while (RefuseUnplaceable(now));
}

bool RequestFlow::RefuseUnplaceable(TimePoint now) {
  const std::vector<RequestId> unplaceable = std::exchange(m_unplaceable, {});
  for (const RequestId id : unplaceable) {
    if (Work* work = Find(id)) {
      GiveUp(now, *work,
             {ErrorId::kNoUpstream, work->route.rule.value(),
              "all upstreams are ejected or leaving"},
             kRetryAfterOutage);
    }
  }
  return !unplaceable.empty();
}

bool RequestFlow::TryStart(TimePoint now, const routing::QueueEntry& entry) {
  Work* work = Find(entry.request);
  if (work == nullptr) {
    return true;
  }
  routing::PlacementRequest request;
  request.admission_class = work->route.admission_class;
  request.affinity = work->affinity;
  request.exclude = work->tried;
  const routing::CandidateSet& candidates = m_upstreams.CandidatesFor(
      work->target, work->route.rule, *work->route.candidates);
  const routing::PlacementDecision decision =
      m_placement.Choose(m_upstreams, candidates, request, now);
  if (decision.upstream.has_value()) {
    Start(now, *work, decision);
    return true;
  }
  const bool no_upstream =
      decision.reason == routing::ChoiceReason::kNoneAlive ||
      decision.reason == routing::ChoiceReason::kNoCandidate;
  // BATCH work may wait for an upstream to recover; in other classes a person
  // waits, so they are refused. This happens after this pass and is not
  // reported as a start, because starts measure the drain rate and would make
  // the Retry-After of other callers too short.
  if (no_upstream && work->route.admission_class != v1::BATCH) {
    m_unplaceable.push_back(work->id);
  }
  return false;
}

void RequestFlow::Start(TimePoint now,
                        Work& work,
                        const routing::PlacementDecision& decision) {
  work.stage = Stage::kAttempt;
  work.attempt = core::AttemptId(++m_last_attempt);
  work.upstream = *decision.upstream;
  work.dispatched = now;
  work.first_token_seen = false;
  work.tried.push_back(work.upstream);
  if (++work.attempts == 1) {
    m_retries.OnFirstAttempt(work.account, work.upstream);
  }
  m_table.OnReserved(now, work.id, work.upstream);
  m_table.OnSent(now, work.id);
  m_upstreams.OnDispatch(work.upstream);

  const config::EffectiveLimits& limits =
      m_dependencies.configured.tables().limits();
  Dispatch dispatch;
  dispatch.request = work.id;
  dispatch.attempt = work.attempt;
  dispatch.upstream = work.upstream;
  dispatch.address = m_upstreams.Find(work.upstream)->address;
  dispatch.model_work = !work.target.model.empty();
  dispatch.account = work.account;
  dispatch.max_output_tokens = work.max_output;
  dispatch.priority = PriorityOf(work.route.admission_class);
  dispatch.first_token_timeout = limits.first_token_timeout;
  dispatch.inter_token_timeout = limits.inter_token_timeout;
  m_dependencies.outbox.Info(
      "routed",
      {{"request", std::to_string(work.id.value())},
       {"account", work.account.value()},
       {"rule", work.route.rule.value()},
       {"class", v1::AdmissionClass_Name(work.route.admission_class)},
       {"upstream", work.upstream.value()},
       {"why", std::string(routing::ToString(decision.reason))},
       {"attempt", std::to_string(work.attempts)},
       {"candidates", routing::DescribeFacts(decision, m_upstreams)}});
  m_dependencies.outbox.Add(std::move(dispatch));
}

void RequestFlow::ExpireQueue(TimePoint now) {
  for (const routing::QueueRefusal& expired : m_queue.Expire(now)) {
    if (Work* work = Find(expired.request)) {
      GiveUp(now, *work, expired.refusal.error, expired.refusal.retry_after);
    }
  }
}

void RequestFlow::Pump(TimePoint now, bool may_start) {
  m_now = now;
  WakeWaiters(now);
  ExpireWaiters(now);
  ResumeAfterBackoff(now);
  ExpireQueue(now);
  if (may_start) {
    DrainQueue(now);
  }
  for (const routing::ProbeDue& probe : m_upstreams.TakeProbesDue(now)) {
    m_dependencies.outbox.Add(ProbeUpstream{probe.upstream, probe.address});
  }
  for (const RequestId id : m_table.TakeExpired(now)) {
    m_dependencies.outbox.Add(ForgetAnswer{id});
  }
}

}  // namespace coppervalve::router::detail
