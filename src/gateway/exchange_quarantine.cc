// A request that ends the upstreams that run it is told by its content.
#include "come_back.h"
#include "coppervalve/gateway/exchange.h"
#include "coppervalve/net/clock.h"

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

const entry::RequestFingerprint& Exchange::Print() {
  if (!m_print) {
    m_print = entry::FingerprintOf(Content());
  }
  return *m_print;
}

// Hardly any request is known, and most of the others are told apart by the
// quick_hash: their bodies are not hashed.
bool Exchange::MayHaveEndedUpstreams() const {
  const entry::CrashRecord& record = m_context.crashes.record();
  return !record.empty() && record.MayContain(entry::QuickHashOf(Content()));
}

entry::QuarantineState Exchange::StandingNow() {
  return MayHaveEndedUpstreams()
             ? m_context.crashes.record().QuarantineStateOf(Print())
             : entry::QuarantineState::kClear;
}

// Isolating upstreams alone gives a request that ends its upstreams one after
// another, with all that they were running; so it is judged by its content,
// before every send.
bool Exchange::RefuseIfItEndsUpstreams() {
  const entry::QuarantineState standing = StandingNow();
  if (standing == entry::QuarantineState::kClear) {
    return false;
  }
  core::Error error{core::ErrorId::kEndsUpstreams, Print().ShortHex(),
                    "upstreams ended under it"};
  core::Duration come_back =
      m_context.crashes.record().RemainingQuarantine(Print(), net::BootNow());
  if (standing == entry::QuarantineState::kSuspect) {
    // Copies that come at once, to many routers, would end an upstream each.
    m_on_trial = m_on_trial || (m_context.members.SelfOwns(Print().digest) &&
                                m_context.crashes.record().BeginTrial(Print()));
    if (m_on_trial) {
      return false;
    }
    error.detail = "tried by one router, one at a time";
    come_back = kAfterATrial;
  }
  if (m_may_have_run) {
    error.id = core::ErrorId::kUpstreamFailed;
    Fail(error);
  } else {
    Refuse(error, come_back);
  }
  return true;
}

void Exchange::TellSurvived() {
  if (MayHaveEndedUpstreams()) {
    m_context.crashes.OnSurvived(Print());
  }
}

}  // namespace coppervalve::gateway
