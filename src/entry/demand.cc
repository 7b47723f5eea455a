#include "coppervalve/entry/demand.h"

#include <algorithm>  // max
#include <cmath>      // exp

namespace coppervalve::entry {

namespace {

constexpr double kFastTimeConstant = 2.5;  // seconds
constexpr double kSlowTimeConstant = 8;    // seconds
// The fast average is noisy, so it only counts where it is well above the slow
// one.
constexpr double kFastWeight = 0.75;
// Minimum time to average over: a single request right after the start is no
// rate.
constexpr double kMinAge = 1.5;  // seconds

double SecondsSince(core::TimePoint start, core::TimePoint now) {
  return std::max(0.0, std::chrono::duration<double>(now - start).count());
}

}  // namespace

double Demand::Average::DecayedBy(double seconds_later,
                                  double time_constant) const {
  return per_second * std::exp(-seconds_later / time_constant);
}

void Demand::Add(core::Tokens tokens, core::TimePoint now) {
  if (!m_first_added) {
    m_first_added = now;
  }
  const double passed = SecondsSince(m_updated, now);
  const auto amount = static_cast<double>(tokens.value());
  m_fast.per_second =
      m_fast.DecayedBy(passed, kFastTimeConstant) + amount / kFastTimeConstant;
  m_slow.per_second =
      m_slow.DecayedBy(passed, kSlowTimeConstant) + amount / kSlowTimeConstant;
  m_updated = now;
}

// Corrects the bias of an average that has not covered its whole time constant
// yet and would be far too low until then.
double Demand::CorrectBias(double average,
                           double time_constant,
                           core::TimePoint now) const {
  const double age = std::max(SecondsSince(*m_first_added, now), kMinAge);
  return average / (1 - std::exp(-age / time_constant));
}

double Demand::PerSecond(core::TimePoint now) const {
  if (!m_first_added) {
    return 0;
  }
  const double passed = SecondsSince(m_updated, now);
  const double fast = CorrectBias(m_fast.DecayedBy(passed, kFastTimeConstant),
                                  kFastTimeConstant, now);
  const double slow = CorrectBias(m_slow.DecayedBy(passed, kSlowTimeConstant),
                                  kSlowTimeConstant, now);
  return std::max(kFastWeight * fast, slow);
}

}  // namespace coppervalve::entry
