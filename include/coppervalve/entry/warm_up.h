#ifndef COPPERVALVE_ENTRY_WARM_UP_H_
#define COPPERVALVE_ENTRY_WARM_UP_H_

#include <cstddef>   // size_t
#include <deque>     // deque
#include <optional>  // optional

#include "coppervalve/core/units.h"
#include "coppervalve/entry/configuration.h"

namespace coppervalve::entry {

/// @brief Times of the requests that this router recently sent to one upstream.
class RecentSends {
 public:
  /// @complexity amortized constant
  void Add(core::TimePoint now);
  /// @return number of requests in the last second, measured by the slowest
  /// clock
  /// @complexity linear in the requests of the last second
  size_t InLastSecond(core::TimePoint now) const;

 private:
  std::deque<core::TimePoint> m_times;
};

/// @brief What is known of an upstream's warm-up. It is cold after a start, and
/// may become cold again at any time.
struct WarmUpState {
  core::TimePoint announced_until{};  ///< from its records, plus their age
  /// When it started, or its failure domain's evacuation ended, while callers
  /// were served.
  std::optional<core::TimePoint> cold_since;
  /// When it was last unreachable, if it has not responded since.
  std::optional<core::TimePoint> unreachable_at;
  RecentSends sends;
};

/// @brief Whether an upstream must be treated as cold.
bool IsCold(const WarmUpState& state,
            const WarmUp& warm_up,
            core::TimePoint now);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_WARM_UP_H_
