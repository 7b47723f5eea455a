// A request that ends the upstreams that run it is told by its content.
#include "coppervalve/gateway/exchange.h"
#include "coppervalve/net/clock.h"
#include "retry_after.h"

namespace coppervalve::gateway {

entry::RequestContent Exchange::Content() const {
  entry::RequestContent content;
  content.method = m_request.head.method;
  content.target = m_request.head.target;
  if (m_admitted.account != nullptr) {
    content.account = m_admitted.account->name;
  }
  content.body = m_request.body;
  return content;
}

const entry::RequestPrint& Exchange::Fingerprint() {
  if (!m_fingerprint) {
    m_fingerprint = entry::PrintOf(Content());
  }
  return *m_fingerprint;
}

// Hardly any request is known, and most of the others are told apart by the
// sketch: their bodies are not hashed.
bool Exchange::MayHaveCrashedUpstreams() const {
  const entry::CrashRecord& record = m_context.crash_monitor.record();
  return !record.empty() && record.MayKnow(entry::SketchOf(Content()));
}

entry::Standing Exchange::CurrentStanding() {
  return MayHaveCrashedUpstreams()
             ? m_context.crash_monitor.record().StandingOf(Fingerprint())
             : entry::Standing::kClear;
}

// Isolating upstreams alone gives a request that ends its upstreams one after
// another, with all that they were running; so it is judged by its content,
// before every send.
bool Exchange::RefuseIfCrashesUpstreams() {
  const entry::Standing standing = CurrentStanding();
  if (standing == entry::Standing::kClear) {
    return false;
  }
  core::Error error{core::ErrorId::kEndsUpstreams, Fingerprint().Short(),
                    "upstreams ended under it"};
  core::Duration retry_delay = m_context.crash_monitor.record().RefusedFor(
      Fingerprint(), net::BootNow());
  if (standing == entry::Standing::kSuspect) {
    // Copies that come at once, to many routers, would end an upstream each.
    m_on_trial = m_on_trial ||
                 (m_context.members.SelfOwns(Fingerprint().digest) &&
                  m_context.crash_monitor.record().BeginTrial(Fingerprint()));
    if (m_on_trial) {
      return false;
    }
    error.detail = "tried by one router, one at a time";
    retry_delay = kRetryAfterTrial;
  }
  if (m_may_have_run) {
    error.id = core::ErrorId::kUpstreamFailed;
    Fail(error);
  } else {
    Refuse(error, retry_delay);
  }
  return true;
}

void Exchange::ReportSurvived() {
  if (MayHaveCrashedUpstreams()) {
    m_context.crash_monitor.OnSurvived(Fingerprint());
  }
}

}  // namespace coppervalve::gateway
