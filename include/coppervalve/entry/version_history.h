#ifndef COPPERVALVE_ENTRY_VERSION_HISTORY_H_
#define COPPERVALVE_ENTRY_VERSION_HISTORY_H_

#include <map>            // map
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief The software versions that each service had lately.
class VersionHistory {
 public:
  /// @param retention how long a version is remembered after it was last listed
  explicit VersionHistory(core::Duration retention) : m_retention(retention) {}

  /// @brief A service has a version now. Services that have had none for the
  /// retention time are forgotten.
  void OnListed(const core::ServiceId& service,
                const core::UpstreamVersion& version,
                core::TimePoint now);
  /// @brief Versions are not listed any more, and may change meanwhile.
  void Interrupt() { m_services.clear(); }
  /// @return the versions that a service had within the last `span`
  /// @pre `span` is at most the retention time
  std::vector<core::UpstreamVersion> Within(const core::ServiceId& service,
                                            core::Duration span,
                                            core::TimePoint now) const;
  /// @return whether the versions of a service are known for the last `span`
  bool Covers(const core::ServiceId& service,
              core::Duration span,
              core::TimePoint now) const;

 private:
  struct Service {
    std::map<core::UpstreamVersion, core::TimePoint> last_listed;
    core::TimePoint known_since{};
  };

  void ForgetServices(core::TimePoint now);

  core::Duration m_retention;
  core::TimePoint m_forgot_at{};
  std::unordered_map<core::ServiceId, Service> m_services;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_VERSION_HISTORY_H_
