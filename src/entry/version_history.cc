#include "coppervalve/entry/version_history.h"

#include <algorithm>  // all_of

namespace coppervalve::entry {

void VersionHistory::OnListed(const core::ServiceId& service,
                              const core::UpstreamVersion& version,
                              core::TimePoint now) {
  ForgetServices(now);
  Service& known = m_services[service];
  if (known.last_listed.empty()) {
    known.known_since = now;
  }
  known.last_listed[version] = now;
  std::erase_if(known.last_listed, [this, now](const auto& listed) {
    return now - listed.second > m_retention;
  });
}

// Other writers choose the names of services.
void VersionHistory::ForgetServices(core::TimePoint now) {
  if (now - m_forgot_at < m_retention) {
    return;
  }
  m_forgot_at = now;
  std::erase_if(m_services, [this, now](const auto& service) {
    const auto& listed = service.second.last_listed;
    return std::all_of(listed.begin(), listed.end(),
                       [this, now](const auto& version) {
                         return now - version.second > m_retention;
                       });
  });
}

std::vector<core::UpstreamVersion> VersionHistory::Within(
    const core::ServiceId& service,
    core::Duration span,
    core::TimePoint now) const {
  std::vector<core::UpstreamVersion> versions;
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return versions;
  }
  for (const auto& [version, at] : found->second.last_listed) {
    if (now - at <= span) {
      versions.push_back(version);
    }
  }
  return versions;
}

bool VersionHistory::Covers(const core::ServiceId& service,
                            core::Duration span,
                            core::TimePoint now) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && now - found->second.known_since >= span;
}

}  // namespace coppervalve::entry
