#ifndef COPPERVALVE_ENTRY_EVACUATIONS_H_
#define COPPERVALVE_ENTRY_EVACUATIONS_H_

#include <optional>     // optional
#include <set>          // set
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"

namespace coppervalve::entry {

/// @brief A failure domain whose evacuation began or ended.
struct EvacuationChange {
  core::FailureDomainId domain;
  bool evacuated = false;  ///< false: it was taken back

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

/// @brief The failure domains that operators want emptied: their upstreams get
/// no request. They do not leave, so their entries, what is known of their
/// caches and open connections stay for the time after.
class Evacuations {
 public:
  /// @brief A record of a domain was read, or its end.
  /// @return the change; none when that was known
  std::optional<EvacuationChange> OnRecord(const core::FailureDomainId& domain,
                                           bool evacuated);
  /// @brief All records were read: a domain that has none is taken back.
  std::vector<EvacuationChange> ReplaceAll(
      const std::set<core::FailureDomainId>& evacuated);

  bool Contains(const core::FailureDomainId& domain) const {
    return m_domains.contains(domain);
  }
  size_t size() const { return m_domains.size(); }

 private:
  std::set<core::FailureDomainId> m_domains;
};

/// @brief The domain that a record of the operators is about.
/// @param prefix of the keys of evacuations
/// @return none: the record is no evacuation; kLogRecordInvalid: it names no
/// domain
std::optional<core::Result<core::FailureDomainId>> EvacuatedDomain(
    std::string_view prefix,
    std::string_view key);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_EVACUATIONS_H_
