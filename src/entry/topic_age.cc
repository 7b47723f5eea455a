#include "coppervalve/entry/topic_age.h"

namespace coppervalve::entry {

// The end is as old as the call: the answer may take seconds to arrive, and
// what is written meanwhile is in none of it.
void TopicAge::OnRead(const ReadProgress& progress) {
  if (m_earlier_end && progress.next >= m_earlier_end->end) {
    m_complete_until = m_earlier_end->called_at;
    m_earlier_end.reset();
  }
  if (progress.next >= progress.end) {
    m_complete_until = progress.called_at;
    return;
  }
  if (!m_earlier_end) {
    m_earlier_end = progress;
  }
}

core::Duration TopicAge::At(core::TimePoint now) const {
  return m_complete_until ? now - *m_complete_until : core::Duration::max();
}

}  // namespace coppervalve::entry
