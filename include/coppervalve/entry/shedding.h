#ifndef COPPERVALVE_ENTRY_SHEDDING_H_
#define COPPERVALVE_ENTRY_SHEDDING_H_

#include <cstdint>   // uint8_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief The conditions that a new request would meet.
struct Backlog {
  /// Expected wait at the best upstream before the prompt is processed.
  core::Duration wait{};
  /// Latency objective for the first byte: the shortest among the service's
  /// routes of the same or a more urgent priority.
  core::Duration objective{};
  uint8_t rank = 0;  ///< 0 is the most urgent
};

/// @brief Constants of load shedding.
struct SheddingOptions {
  bool enabled = true;
  /// Share of the objective up to which no request is rejected. Waits of a
  /// tenth of the objective occur when upstreams run at half of their capacity.
  double free_share = 0.2;
  /// Share from which every request is rejected. The rest is needed to process
  /// a large prompt, and for requests that arrive between the report of a wait
  /// and the placement.
  double full_share = 0.6;
  /// Factor on both shares for each rank: less urgent requests are rejected a
  /// little earlier.
  double rank_factor = 0.9;
};

/// @brief Decides whether a request is rejected because of the queued work.
///
/// With more requests than the upstreams can handle, all of them wait and are
/// late, and callers leave after tokens were spent on them. Instead a part is
/// rejected at once, the larger the longer the wait. The decision is
/// independent of the size of the request and its account, so that large and
/// small requests are rejected alike.
/// @param draw uniform in [0, 1)
/// @return the time after which to retry; none if the request is accepted
std::optional<core::Duration> Shed(const SheddingOptions& options,
                                   const Backlog& backlog,
                                   double draw);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_SHEDDING_H_
