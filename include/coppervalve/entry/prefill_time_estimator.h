#ifndef COPPERVALVE_ENTRY_PREFILL_TIME_ESTIMATOR_H_
#define COPPERVALVE_ENTRY_PREFILL_TIME_ESTIMATOR_H_

#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Estimates the prefill time of a service's engines by linear
/// regression over their responses. Only the time that grows with the tokens to
/// process counts, not the constant part.
class PrefillTimeEstimator {
 public:
  /// @param prefill_tokens tokens processed before the first byte of the
  /// response: those queued ahead and the request's own
  /// @complexity constant, like all members
  void AddSample(const core::ServiceId& service,
                 double prefill_tokens,
                 core::Duration time);

  /// @return time to process so many tokens; 0 while there are too few samples
  core::Duration Estimate(const core::ServiceId& service, double tokens) const;

 private:
  /// Sums of a least-squares fit with exponential decay: older samples count
  /// less and less.
  struct Fit {
    double weight = 0;
    double tokens = 0;
    double micros = 0;
    double tokens_squared = 0;
    double tokens_micros = 0;
    double Slope() const;
  };
  const Fit* Find(const core::ServiceId& service) const;

  std::unordered_map<core::ServiceId, Fit> m_fits;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PREFILL_TIME_ESTIMATOR_H_
