#include "coppervalve/entry/demand.h"

#include <algorithm>  // max
#include <cmath>      // exp

namespace coppervalve::entry {

namespace {

constexpr double kFastSpan = 1.5;  // seconds
constexpr double kSlowSpan = 5;    // seconds

double SecondsSince(core::TimePoint start, core::TimePoint now) {
  return std::max(0.0, std::chrono::duration<double>(now - start).count());
}

}  // namespace

double Demand::Average::At(double seconds_later, double span) const {
  return per_second * std::exp(-seconds_later / span);
}

void Demand::Add(core::Tokens tokens, core::TimePoint now) {
  const double passed = SecondsSince(m_updated, now);
  const auto amount = static_cast<double>(tokens.value());
  m_fast.per_second = m_fast.At(passed, kFastSpan) + amount / kFastSpan;
  m_slow.per_second = m_slow.At(passed, kSlowSpan) + amount / kSlowSpan;
  m_updated = now;
}

double Demand::PerSecond(core::TimePoint now) const {
  const double passed = SecondsSince(m_updated, now);
  return std::max(m_fast.At(passed, kFastSpan), m_slow.At(passed, kSlowSpan));
}

}  // namespace coppervalve::entry
