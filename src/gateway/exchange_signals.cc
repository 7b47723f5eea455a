// Handles state that upstreams report in their response headers.
#include <algorithm>  // max

#include "coppervalve/gateway/exchange.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

// Response headers are the earliest source of this state: the upstream's record
// in the store states the same later, and cannot be read while the store is
// unreachable.
void Exchange::HandleUpstreamSignals() {
  const UpstreamResponseInfo& answer = m_attempt->answer;
  const entry::UpstreamRef sender =
      answer.misdirected
          ? m_context.directory.OtherAtAddress(*m_attempt->upstream)
          : m_attempt->upstream;
  if (!sender) {
    return;
  }
  HandleRateLimit(sender);
  HandleBrittleness(sender);
  LogUnknownHeaders(sender->entry.id);
  if (!answer.leaving && !answer.retry_after) {
    return;
  }
  const bool known_to_leave = sender->entry.leaving;
  if (answer.leaving && m_context.directory.OnLeavingAnnounced(sender)) {
    m_context.pool.CloseAll(sender->entry.id);
  }
  if (answer.retry_after) {
    sender->paused_until =
        std::max(sender->paused_until, net::BootNow() + *answer.retry_after);
  }
  if (known_to_leave && !answer.retry_after) {
    return;  // already logged
  }
  m_context.log.Write(LogCategory::kLifecycle,
                      LogLine("upstream_says")
                          .Text("upstream", sender->entry.id.value())
                          .Flag("leaving", answer.leaving)
                          .Flag("known_to_leave", known_to_leave)
                          .Millis("wait_ms", answer.retry_after.value_or(
                                                 core::Duration::zero())));
}

// An upstream that is brittle says so in all its responses.
void Exchange::HandleBrittleness(const entry::UpstreamRef& sender) {
  const UpstreamResponseInfo& answer = m_attempt->answer;
  const bool own_answer = answer.request_id == m_facts.id;
  if (!own_answer && !answer.max_rejections) {
    return;
  }
  if (sender->brittleness.OnAnswer(answer.max_rejections, net::BootNow())) {
    m_context.log.Write(
        LogCategory::kLifecycle,
        LogLine("upstream_brittle")
            .Text("upstream", sender->entry.id.value())
            .Flag("brittle", answer.max_rejections.has_value())
            .Decimal("rejections_per_s", answer.max_rejections.value_or(0)));
  }
}

void Exchange::LogUnknownHeaders(const core::UpstreamId& upstream) {
  for (const std::string& name : m_attempt->answer.unknown_headers) {
    if (m_context.unknown_headers.IsNew(name)) {
      m_context.log.Write(LogCategory::kLifecycle,
                          LogLine("upstream_word_unknown")
                              .Text("upstream", upstream.value())
                              .Text("name", name));
    }
  }
}

// A missing limit counts as its removal only in the upstream's own response to
// this request.
void Exchange::HandleRateLimit(const entry::UpstreamRef& sender) {
  const UpstreamResponseInfo& answer = m_attempt->answer;
  const bool own_answer = answer.request_id == m_facts.id &&
                          !answer.misdirected &&
                          (answer.genuine || answer.not_run);
  bool changed = false;
  if (answer.limit_malformed) {
    changed = sender->limit.OnUnreadable();
  } else if (answer.limit || own_answer) {
    changed = m_context.directory.OnLimitReceived(
        sender, answer.limit, m_attempt->started_at, net::BootNow());
  }
  if (!changed) {
    return;
  }
  m_context.log.Write(LogCategory::kLifecycle,
                      LogLine("upstream_limit")
                          .Text("upstream", sender->entry.id.value())
                          .Flag("limited", answer.limit.has_value())
                          .Decimal("per_s", answer.limit.value_or(0))
                          .Flag("unreadable", answer.limit_malformed));
}

}  // namespace coppervalve::gateway
