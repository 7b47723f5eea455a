#include "coppervalve/entry/evacuations.h"

#include <string>   // string
#include <utility>  // exchange

namespace coppervalve::entry {

std::optional<EvacuationChange> Evacuations::OnRecord(
    const core::FailureDomainId& domain,
    bool evacuated) {
  const bool changed = evacuated ? m_domains.insert(domain).second
                                 : m_domains.erase(domain) != 0;
  if (!changed) {
    return std::nullopt;
  }
  return EvacuationChange{domain, evacuated};
}

// A single record may be deleted before this router reads it. The full list
// lacks a domain only if its evacuation ended.
std::vector<EvacuationChange> Evacuations::ReplaceAll(
    const std::set<core::FailureDomainId>& evacuated) {
  const std::set<core::FailureDomainId> before =
      std::exchange(m_domains, evacuated);
  std::vector<EvacuationChange> changes;
  for (const core::FailureDomainId& domain : before) {
    if (!evacuated.contains(domain)) {
      changes.push_back({domain, false});
    }
  }
  for (const core::FailureDomainId& domain : evacuated) {
    if (!before.contains(domain)) {
      changes.push_back({domain, true});
    }
  }
  return changes;
}

std::optional<core::Result<core::FailureDomainId>> EvacuatedDomain(
    std::string_view prefix,
    std::string_view key) {
  if (prefix.empty() || !key.starts_with(prefix)) {
    return std::nullopt;
  }
  key.remove_prefix(prefix.size());
  if (key.empty()) {
    return core::Error{core::ErrorId::kLogRecordInvalid, std::string(prefix),
                       "evacuation key names no failure domain"};
  }
  return core::FailureDomainId(std::string(key));
}

}  // namespace coppervalve::entry
