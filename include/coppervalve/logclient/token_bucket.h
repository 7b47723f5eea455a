#ifndef COPPERVALVE_LOGCLIENT_TOKEN_BUCKET_H_
#define COPPERVALVE_LOGCLIENT_TOKEN_BUCKET_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::logclient {

/// @brief Rate limiter: at most `burst + rate * t` events in any period t.
class TokenBucket {
 public:
  /// @param rate events per second, above 0
  /// @param burst maximum number of simultaneous events, at least 1
  TokenBucket(double rate, double burst);

  /// @brief Takes one token if available.
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
