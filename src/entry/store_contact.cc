#include "coppervalve/entry/store_contact.h"

namespace coppervalve::entry {

void StoreContact::OnAnswer(core::TimePoint now) {
  if (!m_up) {
    m_regained = now;
  }
  m_up = true;
  m_last_answer = now;
}

// A call that hung since before the store came back fails after other calls
// were answered. Taken for another loss, it would start the time anew in which
// lapsed entries may return, and upstreams that left would get work for longer.
void StoreContact::OnFailure(core::TimePoint began) {
  if (m_last_answer && *m_last_answer > began) {
    return;
  }
  m_up = false;
  m_regained.reset();
}

core::Duration StoreContact::SilentFor(core::TimePoint now) const {
  return m_last_answer ? now - *m_last_answer : core::Duration::max();
}

std::optional<core::TimePoint> StoreContact::regained() const {
  return m_regained;
}

}  // namespace coppervalve::entry
