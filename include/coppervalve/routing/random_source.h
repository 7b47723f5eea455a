#ifndef COPPERVALVE_ROUTING_RANDOM_SOURCE_H_
#define COPPERVALVE_ROUTING_RANDOM_SOURCE_H_

#include <cstdint>     // uint64_t
#include <functional>  // function

#include "coppervalve/core/units.h"

namespace coppervalve::routing {

/// @brief The only source of randomness; returns 64 uniform bits per call.
using RandomSource = std::function<uint64_t()>;

/// @brief Uniform in [0, bound); 0 when the bound is 0.
uint64_t UniformBelow(const RandomSource& random, uint64_t bound);

/// @brief Uniform in [0, 1).
double UniformFraction(const RandomSource& random);

/// @brief Uniform in [0, span); zero when the span is not positive.
core::Duration UniformDuration(const RandomSource& random, core::Duration span);

/// @brief The id before the first message of a process. Replies to messages of
/// an earlier start of the process then match none of this one.
/// @return a number below 2^56
uint64_t RandomFirstId(const RandomSource& random);

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_RANDOM_SOURCE_H_
