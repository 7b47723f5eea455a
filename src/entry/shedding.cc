#include "coppervalve/entry/shedding.h"

#include <algorithm>  // max
#include <cmath>      // pow

namespace coppervalve::entry {

namespace {

// Minimum retry delay: the load does not change noticeably in less time.
constexpr core::Duration kMinRetryDelay{200'000};

}  // namespace

std::optional<core::Duration> Shed(const SheddingOptions& options,
                                   const Backlog& backlog,
                                   double draw) {
  const auto wait = static_cast<double>(backlog.wait.count());
  const double base = static_cast<double>(backlog.objective.count()) *
                      std::pow(options.rank_factor, backlog.rank);
  const double free = base * options.free_share;
  const double full = base * options.full_share;
  if (!options.enabled || base <= 0 || wait <= free) {
    return std::nullopt;
  }
  const double refused = full > free ? (wait - free) / (full - free) : 1;
  if (draw >= refused) {
    return std::nullopt;
  }
  // The work that is queued now is done after this time.
  return std::max(backlog.wait, kMinRetryDelay);
}

}  // namespace coppervalve::entry
