#include "coppervalve/routing/random_source.h"

namespace coppervalve::routing {

uint64_t UniformBelow(const RandomSource& random, uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  // The modulo bias is below 2^-40 for the bounds in use.
  return random() % bound;
}

double UniformFraction(const RandomSource& random) {
  constexpr uint64_t kSteps = 1'000'000;
  return static_cast<double>(UniformBelow(random, kSteps)) / kSteps;
}

core::Duration UniformDuration(const RandomSource& random,
                               core::Duration span) {
  if (span.count() <= 0) {
    return core::Duration::zero();
  }
  const uint64_t below =
      UniformBelow(random, static_cast<uint64_t>(span.count()));
  return core::Duration(static_cast<int64_t>(below));
}

uint64_t RandomFirstId(const RandomSource& random) {
  constexpr unsigned kRoomForCounting = 8;
  return random() >> kRoomForCounting;
}

}  // namespace coppervalve::routing
