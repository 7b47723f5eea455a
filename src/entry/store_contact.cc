#include "coppervalve/entry/store_contact.h"

namespace coppervalve::entry {

void StoreContact::OnAnswer(core::TimePoint now) {
  if (!m_up) {
    m_reachable_since = now;
  }
  m_up = true;
  m_last_answer = now;
}

// A call started before the store came back may fail after other calls were
// answered. Treating this as a new loss would restart the time in which lapsed
// entries may return, so upstreams that left would receive requests for longer.
void StoreContact::OnFailure(core::TimePoint started_at) {
  if (AnsweredSince(started_at)) {
    return;
  }
  m_up = false;
  m_reachable_since.reset();
}

core::Duration StoreContact::SilentFor(core::TimePoint now) const {
  return m_last_answer ? now - *m_last_answer : core::Duration::max();
}

std::optional<core::TimePoint> StoreContact::reachable_since() const {
  return m_reachable_since;
}

}  // namespace coppervalve::entry
