// What upstreams say of themselves in their answers.
#include <algorithm>  // max

#include "coppervalve/gateway/exchange.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

// The record in the store tells the same later, and not at all while the store
// is away; the upstream itself knows first.
void Exchange::HeedUpstream() {
  const AnswerFacts& answer = m_attempt->answer;
  const entry::UpstreamRef speaker =
      answer.other_upstream
          ? m_context.directory.OtherAtAddress(*m_attempt->upstream)
          : m_attempt->upstream;
  if (!speaker) {
    return;
  }
  HeedLimit(speaker);
  TellUnknownWords(speaker->entry.id);
  if (!answer.leaving && !answer.wait) {
    return;
  }
  const bool known_to_leave = speaker->entry.leaving;
  if (answer.leaving && m_context.directory.OnLeavingAnnounced(speaker)) {
    m_context.pool.Forget(speaker->entry.id);
  }
  if (answer.wait) {
    speaker->paused_until =
        std::max(speaker->paused_until, net::BootNow() + *answer.wait);
  }
  if (known_to_leave && !answer.wait) {
    return;  // told already
  }
  m_context.log.Write(
      LineKind::kLifecycle,
      LogLine("upstream_says")
          .Text("upstream", speaker->entry.id.value())
          .Flag("leaving", answer.leaving)
          .Flag("known_to_leave", known_to_leave)
          .Millis("wait_ms", answer.wait.value_or(core::Duration::zero())));
}

void Exchange::TellUnknownWords(const core::UpstreamId& upstream) {
  for (const std::string& name : m_attempt->answer.unknown) {
    if (m_context.unknown_words.IsNew(name)) {
      m_context.log.Write(LineKind::kLifecycle,
                          LogLine("upstream_word_unknown")
                              .Text("upstream", upstream.value())
                              .Text("name", name));
    }
  }
}

// Only the upstream's own answer to this very request shows that it names no
// limit any more.
void Exchange::HeedLimit(const entry::UpstreamRef& speaker) {
  const AnswerFacts& answer = m_attempt->answer;
  const bool own_answer = answer.request_id == m_facts.id &&
                          !answer.other_upstream &&
                          (answer.genuine || answer.not_run);
  bool news = false;
  if (answer.limit_unreadable) {
    news = speaker->limit.OnUnreadable();
  } else if (answer.limit || own_answer) {
    news = m_context.directory.OnLimitReceived(
        speaker, answer.limit, m_attempt->began, net::BootNow());
  }
  if (!news) {
    return;
  }
  m_context.log.Write(LineKind::kLifecycle,
                      LogLine("upstream_limit")
                          .Text("upstream", speaker->entry.id.value())
                          .Flag("limited", answer.limit.has_value())
                          .Decimal("per_s", answer.limit.value_or(0))
                          .Flag("unreadable", answer.limit_unreadable));
}

}  // namespace coppervalve::gateway
