#include "coppervalve/gateway/exchange.h"

#include <utility>  // exchange

#include "coppervalve/core/memory.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;

std::string_view NameOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "answered";
    case AttemptOutcome::kOwnFailure:
      return "own_failure";
    case AttemptOutcome::kDeclined:
      return "declined";
    case AttemptOutcome::kUnreachable:
      return "unreachable";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kSilent:
      return "silent";
    case AttemptOutcome::kWithheld:
      return "withheld";
    case AttemptOutcome::kMisaddressed:
      break;
  }
  return "misaddressed";
}

}  // namespace

void Exchange::EndPrefill() {
  m_attempt->upstream->in_prefill -= std::exchange(m_attempt->prefill_cost, 0);
}

void Exchange::RecordOutcome(AttemptOutcome outcome) {
  entry::Upstream& upstream = *m_attempt->upstream;
  --upstream.in_flight;
  EndPrefill();
  upstream.health.On(outcome, net::BootNow());
  m_context.gate.OnOutcome(upstream, outcome, net::BootNow());
  m_context.metrics.OnAttempt(NameOf(outcome));
  if (outcome != AttemptOutcome::kAnswered) {
    m_last_failure =
        upstream.entry.id.value() + " " + std::string(NameOf(outcome));
  }
}

void Exchange::AbortAttempt(AttemptOutcome outcome) {
  const bool sent = m_attempt->connection->sent_any();
  if (sent) {
    ++m_sent_attempts;
    m_sent_to.push_back(m_attempt->upstream->entry.id);
    m_may_have_run = true;
  }
  if (sent && outcome == AttemptOutcome::kSilent) {
    ReportBroken();
  }
  m_attempt->connection->Cancel();
  RecordOutcome(outcome);
  m_attempt.reset();
}

void Exchange::DropAttempt() {
  if (!m_attempt) {
    return;
  }
  if (m_attempt->connection->sent_any()) {
    ++m_sent_attempts;
    m_may_have_run = true;
  }
  m_attempt->connection->Cancel();
  --m_attempt->upstream->in_flight;
  EndPrefill();
  m_attempt.reset();
}

void Exchange::OnEnd(AttemptEnd end, std::string_view why) {
  if (m_done || !m_attempt) {
    return;
  }
  m_unfinished_event = m_sse_splitter.buffered_bytes();
  if (end == AttemptEnd::kComplete && IsCutStream()) {
    m_attempt->connection->Close();
    end = AttemptEnd::kBroken;
    why = "the stream ended inside an event";
  }
  if (end == AttemptEnd::kComplete && IsEndInDoubt()) {
    CheckEnd();
    return;
  }
  if (end == AttemptEnd::kNotSent || end == AttemptEnd::kWithheld) {
    OnNotSent(end, why);
    return;
  }
  ++m_sent_attempts;
  m_sent_to.push_back(m_attempt->upstream->entry.id);
  if (end == AttemptEnd::kBroken) {
    m_may_have_run = true;
    ReportBroken();
    RecordOutcome(AttemptOutcome::kBroken);
    m_attempt.reset();
    OnBroken(why);
    return;
  }
  ReturnConnection();
  if (m_attempt->answer.not_run) {
    OnDeclined();
    return;
  }
  m_may_have_run = true;
  OnComplete();
}

// No byte was sent, so any other upstream may get the request.
void Exchange::OnNotSent(AttemptEnd end, std::string_view why) {
  AttemptOutcome outcome = AttemptOutcome::kUnreachable;
  if (end == AttemptEnd::kWithheld) {
    outcome = AttemptOutcome::kWithheld;
  } else if (m_attempt->opening) {
    outcome = m_attempt->relay.empty() ? OnDirectConnectFailed()
                                       : OnRelayedConnectFailed();
  }
  m_time_connecting += net::BootNow() - m_attempt->started_at;
  RecordOutcome(outcome);
  m_last_failure += ": " + std::string(why);
  const bool give_up =
      m_attempt->opening && m_attempt->relay.empty() &&
      m_context.reach.NobodyReaches(m_admitted.service, net::BootNow());
  m_attempt.reset();
  if (give_up) {
    EndWithoutUpstream(m_last_failure);
    return;
  }
  Place();
}

// If other routers reach the upstream, the fault is not its own, and it may be
// tried again.
AttemptOutcome Exchange::OnDirectConnectFailed() {
  const entry::UpstreamEntry& upstream = m_attempt->upstream->entry;
  const core::TimePoint now = net::BootNow();
  m_context.reach.OnFailed(upstream, now);
  if (!m_context.reach.RelayFor(upstream, {}, now)) {
    return AttemptOutcome::kUnreachable;
  }
  m_tried = m_sent_to;
  return AttemptOutcome::kWithheld;
}

// The relay may be partitioned itself, so another one is asked before the
// upstream is to blame.
AttemptOutcome Exchange::OnRelayedConnectFailed() {
  const auto result = m_attempt->connection->relay_result();
  const core::TimePoint now = net::BootNow();
  if (result != RelayResult::kRefused && result != RelayResult::kUnreachable) {
    m_context.reach.OnRelayFailed(m_attempt->relay, now);
    m_tried.pop_back();
    return AttemptOutcome::kWithheld;
  }
  const core::UpstreamId& upstream = m_attempt->upstream->entry.id;
  m_relay_refusals.OnRefused(m_attempt->relay, upstream);
  if (m_relay_refusals.IsConfirmed(upstream) ||
      !m_context.reach.HasRelayBut(m_relay_refusals.relays(), now)) {
    return AttemptOutcome::kUnreachable;
  }
  m_tried.pop_back();
  return AttemptOutcome::kWithheld;
}

// A crashed upstream's kernel closes its connections in the same way as one
// that has finished. Where only this ends a stream, the last event has to be
// whole, and there has to be one.
bool Exchange::IsCutStream() const {
  if (!m_attempt->events) {
    return false;
  }
  return m_sse_splitter.InsideEvent() ||
         (m_attempt->ends_with_connection && !HasEvents());
}

// An upstream that is leaving may end its process after the response.
bool Exchange::IsEndInDoubt() const {
  return m_attempt->ends_with_connection && !m_attempt->end_checked &&
         !m_attempt->upstream->entry.leaving;
}

// A crash between two events, or within a plain body, leaves no other trace
// than an upstream that refuses connections.
void Exchange::CheckEnd() {
  m_attempt->end_checked = true;
  m_context.reach.CheckRefuses(
      m_attempt->upstream->entry, m_attempt->relay,
      [weak = weak_from_this(),
       connection = m_attempt->connection](ReachMonitor::EndCheck result) {
        const auto self = weak.lock();
        if (!self || !self->m_attempt ||
            self->m_attempt->connection != connection) {
          return;
        }
        self->m_attempt->end_confirmed =
            result == ReachMonitor::EndCheck::kAccepts;
        // If no relay can tell, the response must not look complete.
        const bool doubtful = result == ReachMonitor::EndCheck::kUnknown &&
                              !self->m_attempt->relay.empty();
        const bool crashed =
            result == ReachMonitor::EndCheck::kRefuses || self->WasReplaced();
        self->OnEnd(
            crashed || doubtful ? AttemptEnd::kBroken : AttemptEnd::kComplete,
            crashed ? "the upstream crashed" : "no relay confirms it");
      });
}

// What accepts connections at the address may be another start.
bool Exchange::WasReplaced() const {
  const entry::UpstreamRef other =
      m_context.directory.OtherAtAddress(*m_attempt->upstream);
  return other && other->listed_at >= m_attempt->started_at;
}

// The upstream may have restarted or left while it responded. Then the pooled
// connections under its id belong to another instance.
void Exchange::ReturnConnection() {
  const core::UpstreamId& id = m_attempt->upstream->entry.id;
  const bool reusable = !m_attempt->upstream->entry.leaving &&
                        m_context.directory.Find(id) == m_attempt->upstream;
  if (reusable) {
    m_context.pool.Release(id, m_attempt->connection, net::BootNow());
  } else {
    m_attempt->connection->Close();
  }
}

// Only the upstream's own statement proves that a request sent to it did not
// run.
void Exchange::OnDeclined() {
  if (m_attempt->answer.misdirected) {
    m_context.crash_monitor.OnTerminated(m_attempt->upstream->entry,
                                         "address_taken");
  }
  RecordOutcome(m_attempt->answer.misdirected ? AttemptOutcome::kMisaddressed
                                              : AttemptOutcome::kDeclined);
  m_attempt.reset();
  DiscardResponse();
  if (TakeRetry()) {
    Place();
    return;
  }
  EndWithoutUpstream(m_last_failure);
}

void Exchange::OnComplete() {
  const bool resumed = m_attempt->resumed;
  const bool failed =
      resumed ? !m_attempt->forwarding : m_head->status >= kServerError;
  RecordOutcome(failed ? AttemptOutcome::kOwnFailure
                       : AttemptOutcome::kAnswered);
  const bool streamed = m_attempt->forwarding;
  if (ProvesHarmless()) {
    ReportCompleted();
  }
  m_attempt.reset();
  if (failed && resumed) {
    OnBroken("stream could not be resumed");
    return;
  }
  if (failed && Retryable() && TakeRetry()) {
    DiscardResponse();
    Place();
    return;
  }
  const int status = m_head->status;
  if (streamed) {
    // Comments and blank lines after the last event.
    ForwardToCaller(m_sse_splitter.TakePartialEvent());
    m_caller->EndResponse();
  } else {
    const bool head_only = m_request.head.method == "HEAD";
    BeginResponse(head_only && m_head->length ? *m_head->length
                                              : m_body.size());
    m_caller->SendBody(m_body);
    m_caller->EndResponse();
  }
  m_context.metrics.OnServed(m_admitted.route->kind,
                             net::BootNow() - m_request.arrived);
  Finish(failed ? "upstream_answered_failure" : "served", status);
}

void Exchange::OnBroken(std::string_view why) {
  DiscardResponse();
  const bool can_go_on =
      Retryable() && (!m_response_begun || (IsStream() && HasEvents()));
  if (can_go_on && TakeRetry()) {
    Place();
    return;
  }
  Fail({core::ErrorId::kUpstreamFailed, m_last_failure, std::string(why)});
}

// Drops the unsent part of a broken response, so that it is never combined with
// another response.
void Exchange::DiscardResponse() {
  m_sse_splitter.TakePartialEvent();
  m_held_by_connection = 0;
  if (!m_response_begun) {
    m_head.reset();
    core::Release(m_body);
  }
  UpdateBuffered();
}

bool Exchange::TakeRetry() {
  if (m_sent_attempts >= m_admitted.route->max_attempts ||
      TimeLeft() <= core::Duration::zero()) {
    return false;
  }
  // A request that crashes upstreams must not crash a second one before its
  // caller sends it again.
  if (CurrentSuspicion().state != entry::QuarantineState::kClear) {
    return false;
  }
  return m_context.retries.Take(m_admitted.service,
                                m_context.members.LiveCount(), net::BootNow());
}

}  // namespace coppervalve::gateway
