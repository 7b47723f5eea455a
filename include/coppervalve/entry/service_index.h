#ifndef COPPERVALVE_ENTRY_SERVICE_INDEX_H_
#define COPPERVALVE_ENTRY_SERVICE_INDEX_H_

#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/entry/upstream.h"

namespace coppervalve::entry {

/// @brief The usable upstreams of each service, in the same order on all
/// routers.
///
/// The order is by a hash of the id, so that any prefix of it is spread over
/// the failure domains and changes little when upstreams come and go.
class ServiceIndex {
 public:
  /// @brief Adds an upstream under the service of its entry.
  /// @complexity logarithmic, plus moving the pointers behind it
  void Insert(const UpstreamRef& upstream);
  /// @brief Removes an upstream, if it was added. Call it before the service in
  /// its entry changes.
  void Erase(const UpstreamRef& upstream);
  /// @return the upstreams of a service; valid until the next change
  const std::vector<UpstreamRef>& Of(const core::ServiceId& service) const;

 private:
  std::unordered_map<core::ServiceId, std::vector<UpstreamRef>> m_by_service;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_SERVICE_INDEX_H_
