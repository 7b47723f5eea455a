#ifndef COPPERVALVE_ENTRY_WORKING_SET_H_
#define COPPERVALVE_ENTRY_WORKING_SET_H_

#include <cstddef>        // size_t
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Constants of the working sets.
struct WorkingSetOptions {
  size_t min_size = 128;
  /// Upstreams per request in progress, which keeps their queues short.
  double upstreams_per_request = 1;
  /// Time for which a set stays larger than the load requires.
  core::Duration keep_larger{30'000'000};
};

/// @brief Sizes the part of each service's upstreams that gets requests.
///
/// Spreading a small load over thousands of upstreams costs a connection and a
/// cold prefix cache at each of them, and a look at each of them for every
/// request. So the routers use the first upstreams in an order that they agree
/// on, as many as the load needs. The sizes are powers of two, so that routers
/// that see slightly different loads use the same set.
class WorkingSets {
 public:
  explicit WorkingSets(WorkingSetOptions options = {}) : m_options(options) {}

  /// @return the number of usable upstreams to choose from
  size_t SizeOf(const core::ServiceId& service) const;
  /// @param in_progress requests of all routers at the service
  void OnLoad(const core::ServiceId& service,
              double in_progress,
              core::TimePoint now);

 private:
  struct Set {
    size_t size = 0;
    core::TimePoint needed_at{};  ///< last time that the load needed it all
  };
  size_t RequiredSize(double in_progress) const;

  WorkingSetOptions m_options;
  std::unordered_map<core::ServiceId, Set> m_sets;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_WORKING_SET_H_
