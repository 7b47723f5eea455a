#ifndef COPPERVALVE_ENTRY_SHEDDING_H_
#define COPPERVALVE_ENTRY_SHEDDING_H_

#include <cstdint>   // uint8_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief What a new request would meet.
struct Backlog {
  core::Duration wait{};       ///< at the best upstream, before it is read
  core::Duration objective{};  ///< first piece; the shortest of the service's
                               ///< routes that are as urgent or more
  uint8_t rank = 0;            ///< 0 is the most urgent
};

/// @brief Constants of what is refused when upstreams can't keep up.
struct SheddingOptions {
  bool on = true;
  /// Up to this part of the objective may be spent waiting without any refusal.
  /// Waits of a tenth are met with upstreams at half of what they can do.
  double free_part = 0.2;
  /// From this part on everything is refused: reading a large prompt, and what
  /// comes between the report of a wait and the request, need the rest.
  double full_part = 0.6;
  /// Less urgent requests are refused a little earlier, for each rank.
  double rank_part = 0.9;
};

/// @brief Decides whether a request is refused because of the work that waits.
///
/// Work beyond what upstreams can do does not get done by being sent: all of
/// it waits, all of it is late, and callers leave after tokens were spent on
/// them. A part is refused at once instead, the more the longer the wait.
/// Neither the size of the request nor its account matters, so large ones and
/// small ones are refused alike.
/// @param draw uniform in [0, 1)
/// @return when to come back; none: take it
std::optional<core::Duration> Shed(const SheddingOptions& options,
                                   const Backlog& backlog,
                                   double draw);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_SHEDDING_H_
