#ifndef COPPERVALVE_SRC_GATEWAY_COME_BACK_H_
#define COPPERVALVE_SRC_GATEWAY_COME_BACK_H_

#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

// When a caller should come back, by what is missing.
constexpr core::Duration kSoon{200'000};
constexpr core::Duration kAfterReading{500'000};
constexpr core::Duration kAfterACut{4'000'000};
// A trial at an upstream has shown something by then.
constexpr core::Duration kAfterATrial{1'000'000};
// To a caller that another router can serve: as soon as it may come.
constexpr core::Duration kElsewhere{50'000};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_SRC_GATEWAY_COME_BACK_H_
