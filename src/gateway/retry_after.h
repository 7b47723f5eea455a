#ifndef COPPERVALVE_SRC_GATEWAY_RETRY_AFTER_H_
#define COPPERVALVE_SRC_GATEWAY_RETRY_AFTER_H_

#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

// Delays that refusals state in Retry-After, by the reason of the refusal.
constexpr core::Duration kRetrySoon{200'000};
constexpr core::Duration kRetryAfterStoreUpdate{500'000};
constexpr core::Duration kRetryAfterOutage{4'000'000};
// By then a trial request at an upstream has shown a result.
constexpr core::Duration kRetryAfterTrial{1'000'000};
// Another router can serve the caller, so it may retry almost at once.
constexpr core::Duration kRetryElsewhere{50'000};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_SRC_GATEWAY_RETRY_AFTER_H_
