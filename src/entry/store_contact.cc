#include "coppervalve/entry/store_contact.h"

namespace coppervalve::entry {

void StoreContact::OnAnswer(core::TimePoint now) {
  if (!m_up) {
    m_regained = now;
  }
  m_up = true;
  m_last_answer = now;
}

void StoreContact::OnFailure(core::TimePoint now) {
  m_up = false;
  m_regained.reset();
  m_last_failure = now;
}

core::Duration StoreContact::SilentFor(core::TimePoint now) const {
  return m_last_answer ? now - *m_last_answer : core::Duration::max();
}

std::optional<core::TimePoint> StoreContact::regained() const {
  return m_regained;
}

bool StoreContact::SteadyFor(core::Duration span, core::TimePoint now) const {
  return m_up && (!m_last_failure || now - *m_last_failure >= span);
}

}  // namespace coppervalve::entry
