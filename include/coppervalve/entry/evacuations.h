#ifndef COPPERVALVE_ENTRY_EVACUATIONS_H_
#define COPPERVALVE_ENTRY_EVACUATIONS_H_

#include <optional>     // optional
#include <set>          // set
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"

namespace coppervalve::entry {

/// @brief The start or the end of a failure domain's evacuation.
struct EvacuationChange {
  core::FailureDomainId domain;
  bool evacuated = false;  ///< false if the evacuation ended

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

/// @brief The failure domains that operators evacuate: their upstreams get no
/// requests. The upstreams stay in the directory, so that their entries, cached
/// prefixes and open connections can be used after the evacuation.
class Evacuations {
 public:
  /// @brief A record of a domain was read or deleted.
  /// @return the change, if there was any
  std::optional<EvacuationChange> OnRecord(const core::FailureDomainId& domain,
                                           bool evacuated);
  /// @brief All records were read: the evacuation of a domain without one has
  /// ended.
  std::vector<EvacuationChange> ReplaceAll(
      const std::set<core::FailureDomainId>& evacuated);

  bool Contains(const core::FailureDomainId& domain) const {
    return m_domains.contains(domain);
  }
  size_t size() const { return m_domains.size(); }

 private:
  std::set<core::FailureDomainId> m_domains;
};

/// @brief Parses the failure domain from the key of an operator record.
/// @param prefix of the keys of evacuations
/// @return none if the record is no evacuation; kLogRecordInvalid if it names
/// no domain
std::optional<core::Result<core::FailureDomainId>> EvacuatedDomain(
    std::string_view prefix,
    std::string_view key);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_EVACUATIONS_H_
