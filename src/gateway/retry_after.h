#ifndef COPPERVALVE_SRC_GATEWAY_RETRY_AFTER_H_
#define COPPERVALVE_SRC_GATEWAY_RETRY_AFTER_H_

#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

// When a caller should come back, by what is missing.
constexpr core::Duration kRetrySoon{200'000};
constexpr core::Duration kRetryAfterStoreUpdate{500'000};
constexpr core::Duration kRetryAfterOutage{4'000'000};
// A trial at an upstream has shown something by then.
constexpr core::Duration kRetryAfterTrial{1'000'000};
// To a caller that another router can serve: as soon as it may come.
constexpr core::Duration kRetryElsewhere{50'000};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_SRC_GATEWAY_RETRY_AFTER_H_
