#include "coppervalve/entry/store_contact.h"

namespace coppervalve::entry {

void StoreContact::OnAnswer(core::TimePoint now) {
  if (!m_up) {
    m_regained = now;
  }
  m_up = true;
  m_last_answer = now;
}

void StoreContact::OnFailure() {
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
