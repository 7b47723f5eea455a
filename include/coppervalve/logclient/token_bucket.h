#ifndef COPPERVALVE_LOGCLIENT_TOKEN_BUCKET_H_
#define COPPERVALVE_LOGCLIENT_TOKEN_BUCKET_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::logclient {

/// @brief Bound of a rate: at most `burst + rate * t` events in any time t.
class TokenBucket {
 public:
  /// @param rate events per second, above 0
  /// @param burst events that may come at once, at least 1
  TokenBucket(double rate, double burst);

  /// @brief Takes one token if there is one.
  /// @complexity constant
  bool TryTake(core::TimePoint now);

 private:
  void Refill(core::TimePoint now);

  double m_rate;
  double m_burst;
  double m_tokens;
  std::optional<core::TimePoint> m_refilled;
};

}  // namespace coppervalve::logclient

#endif  // COPPERVALVE_LOGCLIENT_TOKEN_BUCKET_H_
