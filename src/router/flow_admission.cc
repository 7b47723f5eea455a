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

/// A top-up is in force within seconds of being published.
constexpr core::Duration kRetryAfterTopUp = std::chrono::seconds(10);
/// Tokens that other routers hold come back within about this time.
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

// Tokens first, upstream second: an entry of the queue can then always start,
// and an account whose budget is short never blocks the queue for others.
void RequestFlow::AskForTokens(TimePoint now, Work& work) {
  const Tokens bound = m_parts.configured.BoundOf(
      work.route.candidates, work.prompt_bound, work.max_output);
  const budget::ReserveResult result =
      m_parts.book.Reserve(now, work.budget, bound, work.route.admission_class);
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
  // GATE work is served before the rest, each in the order of arrival.
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
  for (const core::BudgetId& budget : m_parts.book.TakeWoken()) {
    const auto found = m_waiting.find(budget);
    if (found == m_waiting.end()) {
      continue;
    }
    // Each waiter is tried once; those that still have to wait stay in order.
    std::deque<RequestId> trying = std::move(found->second);
    m_waiting.erase(found);
    for (const RequestId id : trying) {
      Work* work = Find(id);
      if (work == nullptr || work->stage != Stage::kTokens) {
        continue;
      }
      AskForTokens(now, *work);
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
              "no tokens became free in the time the request may wait"},
             kRetryWhenBusy);
    } else if (work->stage == Stage::kClaim) {
      // The claim may still win later. It then names this incarnation, where
      // the key is known as not run, so a retry may run it here and only here.
      GiveUp(now, *work,
             {ErrorId::kClaimUnavailable, work->account.value(),
              "the log did not answer in the time the request may wait"},
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
  } while (RefuseDeadEnds(now));
}

bool RequestFlow::RefuseDeadEnds(TimePoint now) {
  const std::vector<RequestId> dead_ends = std::exchange(m_dead_ends, {});
  for (const RequestId id : dead_ends) {
    if (Work* work = Find(id)) {
      GiveUp(now, *work,
             {ErrorId::kNoUpstream, work->route.rule.value(),
              "all upstreams are ejected or leaving"},
             kRetryAfterOutage);
    }
  }
  return !dead_ends.empty();
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
  const bool dead = decision.why == routing::PlacementWhy::kNoneAlive ||
                    decision.why == routing::PlacementWhy::kNoCandidate;
  // BATCH work may wait for an upstream to return; a person would wait in vain.
  // It is refused after this round and not reported as a start: starts measure
  // the drain rate, and callers would be told to come back too early.
  if (dead && work->route.admission_class != v1::BATCH) {
    m_dead_ends.push_back(work->id);
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

  const config::EffectiveLimits& limits = m_parts.configured.tables().limits();
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
  m_parts.outbox.Info(
      "routed",
      {{"request", std::to_string(work.id.value())},
       {"account", work.account.value()},
       {"rule", work.route.rule.value()},
       {"class", v1::AdmissionClass_Name(work.route.admission_class)},
       {"upstream", work.upstream.value()},
       {"why", std::string(routing::ToString(decision.why))},
       {"attempt", std::to_string(work.attempts)},
       {"candidates", routing::DescribeFacts(decision, m_upstreams)}});
  m_parts.outbox.Add(std::move(dispatch));
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
  ResumePaused(now);
  ExpireQueue(now);
  if (may_start) {
    DrainQueue(now);
  }
  for (const routing::ProbeDue& probe : m_upstreams.TakeProbesDue(now)) {
    m_parts.outbox.Add(ProbeUpstream{probe.upstream, probe.address});
  }
  for (const RequestId id : m_table.TakeExpired(now)) {
    m_parts.outbox.Add(ForgetAnswer{id});
  }
}

}  // namespace coppervalve::router::detail
