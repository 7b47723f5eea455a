#include "coppervalve/entry/hold_factor.h"

#include <algorithm>  // clamp, min
#include <cmath>      // log

namespace coppervalve::entry {

namespace {

// Maximum number of events of one router. Beyond it the counts are scaled down,
// so that a fleet that runs for years follows its recent failures.
constexpr double kMaxEvents = 8;

}  // namespace

// A token held ahead serves a caller in an outage that outlasts the tokens
// before it, and is lost in a crash. For outages of random (exponential)
// length, the last token is worth holding if outages that reach it are as
// frequent as losses. So the headroom grows with the logarithm of the ratio of
// outages to losses. Both counts start with a prior, which observed events
// outweigh. Only the ratio matters, so no clock is needed.
double HoldFactor(const HoldOptions& options, const LossHistory& history) {
  const double before = options.outages_before / options.losses_before;
  const double now = (options.outages_before + history.outages) /
                     (options.losses_before + history.losses);
  return std::clamp(std::log(now) / std::log(before), options.least,
                    options.most);
}

void RouterHistory::OnLoss(double part) {
  m_own.losses += std::clamp(part, 0.0, 1.0);
  ScaleDown();
}

void RouterHistory::OnOutage(double part) {
  m_own.outages += std::clamp(part, 0.0, 1.0);
  ScaleDown();
}

void RouterHistory::ScaleDown() {
  const double kept =
      std::min(1.0, kMaxEvents / (m_own.losses + m_own.outages));
  m_own.losses *= kept;
  m_own.outages *= kept;
}

}  // namespace coppervalve::entry
