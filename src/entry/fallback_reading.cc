#include "coppervalve/entry/fallback_reading.h"

#include <utility>  // move

namespace coppervalve::entry {

FallbackReading::FallbackReading(std::function<core::Duration()> delay)
    : m_delay(std::move(delay)) {}

// While the store does not answer, reading is of no use, and all would begin
// when it returns.
bool FallbackReading::Advance(bool view_lost,
                              bool store_answers,
                              core::TimePoint now) {
  if (!view_lost || !store_answers) {
    m_reads_from.reset();
    return false;
  }
  if (!m_reads_from) {
    m_reads_from = now + m_delay();
  }
  return now >= *m_reads_from;
}

}  // namespace coppervalve::entry
