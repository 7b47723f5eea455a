// Recognizes requests that crash upstreams by their content, and refuses them.
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

const entry::RequestFingerprint& Exchange::Fingerprint() {
  if (!m_fingerprint) {
    m_fingerprint = entry::FingerprintOf(Content());
  }
  return *m_fingerprint;
}

// Hardly any request is in the crash record. A cheap hash is enough to rule out
// most requests, so that the strong hash of their bodies is not needed.
bool Exchange::MayHaveCrashedUpstreams() const {
  const entry::CrashRecord& record = m_context.crash_monitor.record();
  return !record.empty() && record.MayContain(entry::QuickHashOf(Content()));
}

entry::QuarantineState Exchange::CurrentQuarantineState() {
  return MayHaveCrashedUpstreams()
             ? m_context.crash_monitor.record().QuarantineStateOf(Fingerprint())
             : entry::QuarantineState::kClear;
}

// Ejecting failed upstreams is not enough: a request that crashes them would
// crash one after another, along with the other requests they run. So the
// request's content is checked before every send.
bool Exchange::RefuseIfCrashesUpstreams() {
  const entry::QuarantineState quarantine_state = CurrentQuarantineState();
  if (quarantine_state == entry::QuarantineState::kClear) {
    return false;
  }
  core::Error error{core::ErrorId::kEndsUpstreams, Fingerprint().ShortHex(),
                    "upstreams crashed while running it"};
  core::Duration retry_delay =
      m_context.crash_monitor.record().RemainingQuarantine(Fingerprint(),
                                                           net::BootNow());
  if (quarantine_state == entry::QuarantineState::kSuspect) {
    // Copies that arrive at many routers at once would each crash an upstream.
    // So only one router tries them, one at a time.
    m_on_trial = m_on_trial ||
                 (m_context.members.SelfOwns(Fingerprint().digest) &&
                  m_context.crash_monitor.record().BeginTrial(Fingerprint()));
    if (m_on_trial) {
      return false;
    }
    error.detail = "suspect request, tried by one router, one at a time";
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
