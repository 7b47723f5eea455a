#include "coppervalve/entry/upstream_reach.h"

#include <algorithm>  // clamp, count_if

namespace coppervalve::entry {

bool UpstreamReach::OnOpened(const core::ServiceId& service) {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return false;
  }
  const bool was_partitioned = found->second.partitioned;
  m_services.erase(found);
  return was_partitioned;
}

bool UpstreamReach::OnFailed(const core::ServiceId& service,
                             const core::UpstreamId& upstream,
                             size_t upstreams,
                             core::TimePoint now) {
  State& state = m_services[service];
  std::erase_if(state.failed, [&](const auto& failure) {
    return now - failure.second > m_options.evidence_time;
  });
  state.failed[upstream] = now;
  state.last_request = now;
  const size_t required = upstreams == 0 ? m_options.evidence_count
                                         : std::clamp(upstreams, size_t{1},
                                                      m_options.evidence_count);
  if (state.partitioned || state.failed.size() < required) {
    return false;
  }
  state.partitioned = true;
  state.next_check = now + m_options.check_interval;
  return true;
}

// Begins early, so that its result is known when the evidence is complete, and
// goes on for a while, as the verdict may be wrong. If there are few upstreams,
// all of them have to fail anyway.
bool UpstreamReach::ShouldProbe(const core::ServiceId& service,
                                size_t upstreams) const {
  const auto found = m_services.find(service);
  if (found == m_services.end() || upstreams <= m_options.evidence_count) {
    return false;
  }
  const size_t failed = found->second.failed.size();
  return failed * 2 >= m_options.evidence_count &&
         failed < m_options.evidence_count * 2;
}

bool UpstreamReach::HasFailed(const core::ServiceId& service,
                              const core::UpstreamId& upstream) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && found->second.failed.contains(upstream);
}

void UpstreamReach::OnReachedByPeer(const core::ServiceId& service,
                                    const std::string& address,
                                    core::TimePoint now) {
  const auto found = m_services.find(service);
  if (found != m_services.end()) {
    found->second.reached_by_peer = address;
    found->second.last_request = now;
  }
}

bool UpstreamReach::IsPartitioned(const core::ServiceId& service) const {
  const auto found = m_services.find(service);
  return found != m_services.end() && found->second.partitioned;
}

size_t UpstreamReach::partitioned() const {
  return static_cast<size_t>(std::count_if(
      m_services.begin(), m_services.end(),
      [](const auto& service) { return service.second.partitioned; }));
}

bool UpstreamReach::IsDue(const State& state, core::TimePoint now) const {
  const bool idle = now - state.last_request > m_options.idle_time;
  return state.partitioned && !idle && now >= state.next_check;
}

std::vector<UpstreamReach::Check> UpstreamReach::TakeDueChecks(
    core::TimePoint now) {
  std::vector<Check> due;
  for (auto& [service, state] : m_services) {
    if (!IsDue(state, now) || state.reached_by_peer.empty()) {
      continue;
    }
    state.next_check = now + m_options.check_interval;
    due.push_back({service, state.reached_by_peer});
  }
  return due;
}

std::vector<core::ServiceId> UpstreamReach::TakeDueProbes(core::TimePoint now) {
  std::vector<core::ServiceId> due;
  for (auto& [service, state] : m_services) {
    if (!IsDue(state, now) || !state.reached_by_peer.empty()) {
      continue;
    }
    state.next_check = now + m_options.check_interval;
    due.push_back(service);
  }
  return due;
}

}  // namespace coppervalve::entry
