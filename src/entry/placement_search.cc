#include "coppervalve/entry/placement_search.h"

#include <algorithm>  // partition
#include <utility>    // move

namespace coppervalve::entry {

namespace {

// A router that the store turns away stays so for seconds. It is still asked if
// no other one has a current table.
constexpr core::Duration kRetention{2'000'000};
// Datagrams may be lost, and a router that starts knows no upstream.
constexpr size_t kMaxWithoutUpstream = 3;

}  // namespace

void OutdatedPeers::OnReply(const std::string& address,
                            bool current,
                            core::TimePoint now) {
  if (current) {
    m_seen_at.erase(address);
    return;
  }
  std::erase_if(m_seen_at, [now](const auto& one) {
    return now - one.second >= kRetention;
  });
  m_seen_at[address] = now;
}

bool OutdatedPeers::Contains(const std::string& address,
                             core::TimePoint now) const {
  const auto found = m_seen_at.find(address);
  return found != m_seen_at.end() && now - found->second < kRetention;
}

PlacementSearch::PlacementSearch(PlacementPeers peers,
                                 const OutdatedPeers& outdated,
                                 bool reaches_store,
                                 core::TimePoint now)
    : m_peers(std::move(peers)), m_reaches_store(reaches_store) {
  for (std::vector<std::string>* kind : {&m_peers.active, &m_peers.next}) {
    const auto first_outdated = std::partition(
        kind->begin(), kind->end(), [&](const std::string& address) {
          return !outdated.Contains(address, now);
        });
    m_outdated.insert(m_outdated.end(), first_outdated, kind->end());
    kind->erase(first_outdated, kind->end());
  }
}

std::optional<std::string> PlacementSearch::Take(
    std::vector<std::string>& addresses,
    const routing::RandomSource& random) {
  if (addresses.empty()) {
    return std::nullopt;
  }
  const auto chosen =
      addresses.begin() + static_cast<std::ptrdiff_t>(
                              routing::UniformBelow(random, addresses.size()));
  std::string address = std::move(*chosen);
  addresses.erase(chosen);
  m_asked.push_back(address);
  return address;
}

std::optional<std::string> PlacementSearch::Next(
    const routing::RandomSource& random) {
  if (m_found_current || m_asked.size() == kMaxAsked ||
      m_without_upstream == kMaxWithoutUpstream) {
    return std::nullopt;
  }
  std::optional<std::string> next = Take(m_peers.active, random);
  if (!next) {
    next = Take(m_peers.next, random);
  }
  if (!next && (m_reaches_store || !m_best.upstream)) {
    next = Take(m_outdated, random);
  }
  if (!next && !m_best.upstream && !m_asked.empty()) {
    // The request or its reply may have been lost.
    next = m_asked.back();
    m_asked.push_back(*next);
  }
  return next;
}

void PlacementSearch::OnReply(const Placement& placement) {
  if (!placement.upstream) {
    ++m_without_upstream;
    return;
  }
  const bool better = !m_best.upstream || !placement.table.outdated ||
                      placement.table.age < m_best.table.age;
  m_found_current = m_found_current || !placement.table.outdated;
  if (better) {
    m_best = placement;
  }
}

Placement PlacementSearch::Result() const {
  if (!m_best.upstream || m_found_current || !m_reaches_store) {
    return m_best;
  }
  Placement none;
  none.why = PlacementReason::kTableOutdated;
  none.table = m_best.table;
  return none;
}

}  // namespace coppervalve::entry
