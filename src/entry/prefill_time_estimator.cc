#include "coppervalve/entry/prefill_time_estimator.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// Decay per sample: the fit covers about fifty responses, one second at a busy
// router.
constexpr double kDecay = 0.98;
// Below this weight there are too few samples for a fit.
constexpr double kMinWeight = 8;

}  // namespace

// Least squares. If all samples had the same number of tokens, the slope is
// undetermined and all of the time is attributed to the tokens.
double PrefillTimeEstimator::Fit::Slope() const {
  const double spread = weight * tokens_squared - tokens * tokens;
  if (spread <= 1e-9 * tokens_squared * weight) {
    return tokens > 0 ? micros / tokens : 0;
  }
  return std::max((weight * tokens_micros - tokens * micros) / spread, 0.0);
}

void PrefillTimeEstimator::AddSample(const core::ServiceId& service,
                                     double prefill_tokens,
                                     core::Duration time) {
  Fit& fit = m_fits[service];
  const auto micros = static_cast<double>(time.count());
  fit.weight = fit.weight * kDecay + 1;
  fit.tokens = fit.tokens * kDecay + prefill_tokens;
  fit.micros = fit.micros * kDecay + micros;
  fit.tokens_squared =
      fit.tokens_squared * kDecay + prefill_tokens * prefill_tokens;
  fit.tokens_micros = fit.tokens_micros * kDecay + prefill_tokens * micros;
}

const PrefillTimeEstimator::Fit* PrefillTimeEstimator::Find(
    const core::ServiceId& service) const {
  const auto found = m_fits.find(service);
  return found == m_fits.end() || found->second.weight < kMinWeight
             ? nullptr
             : &found->second;
}

core::Duration PrefillTimeEstimator::Estimate(const core::ServiceId& service,
                                              double tokens) const {
  const Fit* fit = Find(service);
  return fit == nullptr ? core::Duration::zero()
                        : core::Duration(static_cast<int64_t>(
                              fit->Slope() * std::max(tokens, 0.0)));
}

}  // namespace coppervalve::entry
