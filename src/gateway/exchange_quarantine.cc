// Recognizes requests that crash upstreams by their content or by a part of
// their prompt, and refuses them.
#include <algorithm>  // any_of

#include "coppervalve/gateway/exchange.h"
#include "coppervalve/net/clock.h"
#include "retry_after.h"

namespace coppervalve::gateway {

namespace {

constexpr int kRedirection = 300;

}  // namespace

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

const std::vector<uint64_t>& Exchange::PartHashes() {
  if (m_part_hashes.empty()) {
    for (const std::string& part : m_facts.shared_parts) {
      m_part_hashes.push_back(entry::QuickHashOfPart(m_admitted.service, part));
    }
  }
  return m_part_hashes;
}

entry::RequestTraits Exchange::Traits() {
  entry::RequestTraits traits(Fingerprint());
  for (const std::string& part : m_facts.shared_parts) {
    traits.parts.push_back(entry::FingerprintOfPart(m_admitted.service, part));
  }
  return traits;
}

// Hardly any request is in the crash record. Cheap hashes are enough to rule
// out most requests, so that strong hashes are not needed.
bool Exchange::MayHaveCrashedUpstreams() {
  const entry::CrashRecord& record = m_context.crash_monitor.record();
  if (record.empty()) {
    return false;
  }
  const std::vector<uint64_t>& parts = PartHashes();
  return record.MayContain(entry::QuickHashOf(Content())) ||
         std::any_of(parts.begin(), parts.end(), [&record](uint64_t part) {
           return record.MayContain(part);
         });
}

entry::Suspicion Exchange::CurrentSuspicion() {
  return MayHaveCrashedUpstreams()
             ? m_context.crash_monitor.record().Assess(Traits())
             : entry::Suspicion();
}

// Ejecting failed upstreams is not enough: requests that crash them would
// crash one after another, along with the other requests they run. So the
// request's content and the parts of its prompt are checked before every send.
bool Exchange::RefuseIfCrashesUpstreams() {
  const entry::Suspicion suspicion = CurrentSuspicion();
  if (suspicion.state < entry::QuarantineState::kSuspect) {
    return false;
  }
  entry::CrashRecord& record = m_context.crash_monitor.record();
  core::Error error{suspicion.part ? core::ErrorId::kPromptPartEndsUpstreams
                                   : core::ErrorId::kEndsUpstreams,
                    suspicion.trait.ShortHex(),
                    "upstreams crashed while running such requests"};
  core::Duration retry_delay =
      record.RemainingQuarantine(suspicion.trait, net::BootNow());
  if (suspicion.state == entry::QuarantineState::kSuspect) {
    // Copies that arrive at many routers at once would each crash an upstream.
    // So only one router tries them, one at a time.
    const bool responsible = suspicion.any_router ||
                             m_context.members.SelfOwns(suspicion.trait.digest);
    if (!m_trial && responsible && record.BeginTrial(suspicion.trait)) {
      m_trial = suspicion.trait;
    }
    if (m_trial) {
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

void Exchange::ReportBroken() {
  core::Duration writing{};
  if (m_attempt->first_event_at) {
    writing = net::BootNow() - *m_attempt->first_event_at;
  }
  m_context.crash_monitor.OnBroken(m_attempt->upstream, Traits(), writing);
}

// A failure, an empty stream, the rest of a stream that another upstream began,
// or a response that may have been cut, does not show that an upstream can run
// the request. A rejected prompt was not even read.
bool Exchange::ProvesHarmless() const {
  const int failures_from =
      m_facts.shared_parts.empty() ? kServerError : kRedirection;
  const bool resumed = m_attempt->resumed || !m_facts.resume_after.empty();
  const bool whole =
      !m_attempt->ends_with_connection || m_attempt->end_confirmed;
  const bool written = !m_attempt->events || HasEvents();
  return m_head->status < failures_from && !resumed && whole && written;
}

void Exchange::ReportCompleted() {
  m_context.crash_monitor.record().OnCompleted(PartHashes(), net::BootNow());
  if (MayHaveCrashedUpstreams()) {
    m_context.crash_monitor.OnSurvived(Traits());
  }
}

}  // namespace coppervalve::gateway
