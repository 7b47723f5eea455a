#include "coppervalve/entry/demand.h"

#include <algorithm>  // max
#include <cmath>      // exp

namespace coppervalve::entry {

namespace {

constexpr double kFastSpan = 2.5;  // seconds
constexpr double kSlowSpan = 8;    // seconds
// The fast average is noisy, so it only counts where it is well above the slow
// one.
constexpr double kFastWeight = 0.75;
// A single request right after the start is no rate.
constexpr double kLeastAge = 1.5;  // seconds

double SecondsSince(core::TimePoint start, core::TimePoint now) {
  return std::max(0.0, std::chrono::duration<double>(now - start).count());
}

}  // namespace

double Demand::Average::At(double seconds_later, double span) const {
  return per_second * std::exp(-seconds_later / span);
}

void Demand::Add(core::Tokens tokens, core::TimePoint now) {
  if (!m_began) {
    m_began = now;
  }
  const double passed = SecondsSince(m_updated, now);
  const auto amount = static_cast<double>(tokens.value());
  m_fast.per_second = m_fast.At(passed, kFastSpan) + amount / kFastSpan;
  m_slow.per_second = m_slow.At(passed, kSlowSpan) + amount / kSlowSpan;
  m_updated = now;
}

// Corrects the bias of an average that has not covered its whole time constant
// yet and would be far too low until then.
double Demand::Corrected(double average,
                         double span,
                         core::TimePoint now) const {
  const double age = std::max(SecondsSince(*m_began, now), kLeastAge);
  return average / (1 - std::exp(-age / span));
}

double Demand::PerSecond(core::TimePoint now) const {
  if (!m_began) {
    return 0;
  }
  const double passed = SecondsSince(m_updated, now);
  const double fast = Corrected(m_fast.At(passed, kFastSpan), kFastSpan, now);
  const double slow = Corrected(m_slow.At(passed, kSlowSpan), kSlowSpan, now);
  return std::max(kFastWeight * fast, slow);
}

}  // namespace coppervalve::entry
