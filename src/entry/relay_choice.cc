#include "coppervalve/entry/relay_choice.h"

#include <algorithm>  // find

namespace coppervalve::entry {

std::optional<std::string> RelayChoice::Choose(
    const std::vector<std::string>& peers,
    const std::vector<std::string>& excluded,
    core::TimePoint now) const {
  std::vector<const std::string*> usable;
  for (const std::string& peer : peers) {
    if (std::find(excluded.begin(), excluded.end(), peer) != excluded.end()) {
      continue;
    }
    const auto failed = m_failed.find(peer);
    if (failed == m_failed.end() || now - failed->second >= m_pause) {
      usable.push_back(&peer);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return *usable[routing::UniformBelow(m_random, usable.size())];
}

void RelayChoice::OnFailed(const std::string& peer, core::TimePoint now) {
  std::erase_if(m_failed, [&](const auto& failure) {
    return now - failure.second >= m_pause;
  });
  m_failed[peer] = now;
}

}  // namespace coppervalve::entry
