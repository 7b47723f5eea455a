#include <utility>  // move
#include <variant>  // get_if

#include "coppervalve/router/detail/request_flow.h"

namespace coppervalve::router::detail {

using core::Error;
using core::ErrorId;
using core::RequestId;
using core::TimePoint;
using core::Tokens;

namespace {

constexpr uint32_t kFirstClientError = 400;
constexpr uint32_t kFirstServerError = 500;

std::optional<routing::LoadReport> ReportOf(
    const std::optional<UpstreamLoad>& load) {
  if (!load.has_value()) {
    return std::nullopt;
  }
  return routing::LoadReport{load->running, load->queued};
}

routing::FailureKind KindOf(ErrorId id) {
  switch (id) {
    case ErrorId::kUpstreamSilent:
      return routing::FailureKind::kSilent;
    case ErrorId::kUpstreamProtocol:
      return routing::FailureKind::kProtocol;
    default:
      return routing::FailureKind::kError;
  }
}

}  // namespace

Work* RequestFlow::Find(RequestId id) {
  const auto found = m_work.find(id);
  return found == m_work.end() ? nullptr : &found->second;
}

void RequestFlow::Erase(RequestId id) {
  m_work.erase(id);
}

// Events of an abandoned attempt must not affect the attempt that replaced it.
Work* RequestFlow::FindAttempt(RequestId id, core::AttemptId attempt) {
  Work* work = Find(id);
  const bool current = work != nullptr && work->stage == Stage::kAttempt &&
                       work->attempt == attempt;
  return current ? work : nullptr;
}

void RequestFlow::ReleaseTokens(TimePoint now, Work& work) {
  if (work.reservation.has_value()) {
    m_dependencies.holding_manager.Cancel(now, *work.reservation);
    work.reservation.reset();
  }
}

// Without a count from the engine the usage is unknown: a silent connection may
// hide a complete answer. Charging less than the reservation could let the
// total of the upstreams exceed the prepaid tokens.
void RequestFlow::WriteOff(TimePoint now, Work& work) {
  if (work.reservation.has_value()) {
    m_dependencies.holding_manager.Settle(
        now, *work.reservation, work.reservation->bound, budget::WrittenOff{});
    work.reservation.reset();
  }
}

void RequestFlow::OnNotSent(TimePoint now, const AttemptNotSent& event) {
  m_now = now;
  Work* work = FindAttempt(event.request, event.attempt);
  if (work == nullptr) {
    return;
  }
  m_upstreams.OnNotSent(work->upstream, now);
  AfterNotRun(now, *work, routing::AttemptEnd::kNotSent, event.error);
}

void RequestFlow::OnDeclined(TimePoint now, const AttemptDeclined& event) {
  m_now = now;
  Work* work = FindAttempt(event.request, event.attempt);
  if (work == nullptr) {
    return;
  }
  m_upstreams.OnDeclined(work->upstream, event.retry_after,
                         ReportOf(event.load), now);
  AfterNotRun(now, *work, routing::AttemptEnd::kDeclined,
              {ErrorId::kNoUpstream, work->upstream.value(),
               "declined with status " + std::to_string(event.http_status)});
}

void RequestFlow::AfterNotRun(TimePoint now,
                              Work& work,
                              routing::AttemptEnd end,
                              const Error& error) {
  m_table.OnAttemptNotRun(now, work.id);
  routing::FailedAttempt failed;
  failed.account = work.account;
  failed.upstream = work.upstream;
  failed.end = end;
  failed.error = error;
  failed.idempotent = !work.route.non_idempotent;
  failed.attempts = work.attempts;
  failed.max_attempts = work.route.max_attempts;
  failed.tried = work.tried;
  failed.deadline = work.start_by;
  ApplyRetryDecision(now, work, m_retries.Decide(failed, now));
}

void RequestFlow::OnFirstToken(TimePoint now, const AttemptFirstToken& event) {
  Work* work = FindAttempt(event.request, event.attempt);
  if (work == nullptr || work->first_token_seen) {
    return;
  }
  work->first_token_seen = true;
  m_upstreams.OnFirstToken(work->upstream, now - work->dispatched, now);
}

// An engine that reports no usage may have used the whole reservation. Only a
// rejection of the request itself (4xx) shows that nothing was generated.
Tokens RequestFlow::CostOf(const Work& work, const AttemptDone& done) const {
  const bool refused = done.http_status >= kFirstClientError &&
                       done.http_status < kFirstServerError;
  const bool uncounted = !work.target.model.empty() && !done.usage && !refused;
  if (uncounted && work.reservation.has_value()) {
    return work.reservation->bound;
  }
  return m_dependencies.configured.CostAt(work.upstream, done.usage);
}

void RequestFlow::OnDone(TimePoint now, const AttemptDone& event) {
  m_now = now;
  Work* work = FindAttempt(event.request, event.attempt);
  if (work == nullptr) {
    return;
  }
  m_upstreams.OnDone(work->upstream, now - work->dispatched,
                     ReportOf(event.load), now);
  const Tokens cost = CostOf(*work, event);
  budget::Charge charge = budget::Unkeyed{};
  if (work->key.has_value()) {
    charge = budget::Bill{*work->key, work->account};
  }
  if (work->reservation.has_value()) {
    const auto settled = m_dependencies.holding_manager.Settle(
        now, *work->reservation, cost, charge);
    if (settled.has_value() && settled->uncovered > Tokens(0)) {
      m_dependencies.outbox.Alarm(
          {ErrorId::kConservationBroken, work->upstream.value(),
           "used " + std::to_string(settled->uncovered.value()) +
               " tokens not covered by the holding"});
    }
  }
  m_table.OnDone(now, work->id, event.answer_size);
  m_dependencies.outbox.Info("answered",
                             {{"request", std::to_string(work->id.value())},
                              {"account", work->account.value()},
                              {"upstream", work->upstream.value()},
                              {"status", std::to_string(event.http_status)},
                              {"tokens", std::to_string(cost.value())}});
  Erase(event.request);
}

void RequestFlow::OnFailed(TimePoint now, const AttemptFailed& event) {
  m_now = now;
  Work* work = FindAttempt(event.request, event.attempt);
  if (work == nullptr) {
    return;
  }
  m_upstreams.OnFailed(work->upstream, KindOf(event.error.id), now);
  WriteOff(now, *work);
  routing::FailedAttempt failed;
  failed.account = work->account;
  failed.upstream = work->upstream;
  failed.end = routing::AttemptEnd::kFailed;
  failed.error = event.error;
  failed.idempotent = !work->route.non_idempotent;
  failed.forwarded_bytes = event.forwarded_bytes;
  failed.attempts = work->attempts;
  failed.max_attempts = work->route.max_attempts;
  failed.tried = work->tried;
  ApplyRetryDecision(now, *work, m_retries.Decide(failed, now));
}

void RequestFlow::ApplyRetryDecision(TimePoint now,
                                     Work& work,
                                     const routing::RetryDecision& decision) {
  const auto* retry = std::get_if<routing::Retry>(&decision);
  if (retry != nullptr && m_table.MayRetry(work.id)) {
    work.stage = Stage::kBackoff;
    work.tried = retry->exclude;
    m_backoffs.emplace(now + retry->after, work.id);
    return;
  }
  const auto* give_up = std::get_if<routing::GiveUp>(&decision);
  if (give_up == nullptr) {
    GiveUp(now, work, {ErrorId::kOutcomeUnknown, work.upstream.value(), ""},
           std::nullopt);
    return;
  }
  GiveUp(now, work, give_up->error, give_up->retry_after);
}

void RequestFlow::ResumeAfterBackoff(TimePoint now) {
  while (!m_backoffs.empty() && m_backoffs.begin()->first <= now) {
    const RequestId id = m_backoffs.begin()->second;
    m_backoffs.erase(m_backoffs.begin());
    Work* work = Find(id);
    if (work == nullptr || work->stage != Stage::kBackoff) {
      continue;
    }
    if (work->reservation.has_value()) {
      Enqueue(now, *work);
    } else {
      ReserveTokens(now, *work);
    }
  }
}

// The table records whether an attempt may have run, so it decides the reported
// run state, not the error.
void RequestFlow::GiveUp(TimePoint now,
                         Work& work,
                         Error error,
                         std::optional<core::Duration> retry_after) {
  const RequestId id = work.id;
  const core::RunState run_state = m_table.RefusalRunState(id);
  ReleaseTokens(now, work);
  m_queue.Remove(id);
  const request::Waiters waiters = run_state == core::RunState::kNotRun
                                       ? m_table.OnRefused(now, id, error.id)
                                       : m_table.OnFailed(now, id, error.id);
  m_dependencies.outbox.Info("refused",
                             {{"request", std::to_string(id.value())},
                              {"account", work.account.value()},
                              {"rule", work.route.rule.value()},
                              {"error", core::ErrorCode(error.id)},
                              {"detail", error.detail}});
  for (const RequestId waiter : waiters) {
    m_dependencies.outbox.Add(Refuse{waiter, error, run_state, retry_after});
  }
  if (waiters.empty()) {
    m_dependencies.outbox.Add(ForgetAnswer{id});
  }
  Erase(id);
}

void RequestFlow::RefuseImmediately(RequestId id,
                                    Error error,
                                    std::optional<core::Duration> retry_after,
                                    core::RunState run_state) {
  m_dependencies.outbox.Info("refused",
                             {{"request", std::to_string(id.value())},
                              {"error", core::ErrorCode(error.id)},
                              {"detail", error.detail}});
  m_dependencies.outbox.Add(
      Refuse{id, std::move(error), run_state, retry_after});
}

void RequestFlow::OnCallerDisconnected(TimePoint now, RequestId id) {
  m_now = now;
  m_status_relays.erase(id);
  const request::DisconnectDecision decision =
      m_table.OnCallerDisconnected(now, id);
  Work* work = Find(id);
  if (decision != request::DisconnectDecision::kCancel || work == nullptr) {
    return;
  }
  const bool sent = work->stage == Stage::kAttempt;
  if (sent || work->stage == Stage::kForwarded) {
    m_dependencies.outbox.Add(
        CancelAttempt{id, sent ? work->attempt : core::AttemptId(0)});
  }
  if (sent) {
    m_upstreams.OnCancelled(work->upstream);
    WriteOff(now, *work);
    m_table.OnFailed(now, id, ErrorId::kAnswerCut);
  } else {
    ReleaseTokens(now, *work);
    m_queue.Remove(id);
    m_table.OnRefused(now, id, ErrorId::kAnswerCut);
  }
  Erase(id);
}

void RequestFlow::OnProbeEnded(TimePoint now, const ProbeEnded& event) {
  m_upstreams.OnProbe(event.upstream, event.healthy, ReportOf(event.load), now);
}

void RequestFlow::OnVmList(const v1::VmList& vms) {
  for (const v1::Vm& vm : vms.vms()) {
    m_upstreams.SetLeaving(core::UpstreamId(vm.id()), vm.leaving());
  }
}

}  // namespace coppervalve::router::detail
