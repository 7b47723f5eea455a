#include "coppervalve/entry/active_set.h"

#include <algorithm>  // sort
#include <map>        // map
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

/// @brief The candidates of one failure domain, highest capacity first.
struct Domain {
  std::vector<Candidate> ranked;
  size_t selected = 0;
  bool HasMore() const { return selected < ranked.size(); }
};

bool RanksHigher(const Candidate& a, const Candidate& b) {
  if (a.capacity != b.capacity) {
    return a.capacity > b.capacity;
  }
  // Ties are broken by hash: by name, the first routers of each domain would
  // always carry the load.
  return core::Hash64(a.router.value()) < core::Hash64(b.router.value());
}

// The domain with the fewest selected routers; ties go to the domain whose next
// candidate ranks higher.
Domain* NextDomain(std::map<core::FailureDomainId, Domain>& domains) {
  Domain* next = nullptr;
  for (auto& [name, domain] : domains) {
    if (!domain.HasMore()) {
      continue;
    }
    const bool fewer = next == nullptr || domain.selected < next->selected;
    const bool better = next != nullptr && domain.selected == next->selected &&
                        RanksHigher(domain.ranked[domain.selected],
                                    next->ranked[next->selected]);
    if (fewer || better) {
      next = &domain;
    }
  }
  return next;
}

}  // namespace

// The active routers are the most capable ones, as few as can carry the load.
// If the tokens of an account were divided among all routers of a large fleet,
// each share would be too small for a large request, and callers that keep one
// address might stay on a VM that is too weak for them.
std::vector<Candidate> SelectActive(std::vector<Candidate> candidates,
                                    const ActiveSetRequirements& requirements) {
  std::map<core::FailureDomainId, Domain> domains;
  for (Candidate& candidate : candidates) {
    domains[candidate.failure_domain].ranked.push_back(std::move(candidate));
  }
  for (auto& [name, domain] : domains) {
    std::sort(domain.ranked.begin(), domain.ranked.end(), RanksHigher);
  }
  std::vector<Candidate> selected;
  double capacity = 0;
  while (selected.size() < requirements.min_routers ||
         capacity < requirements.requests_per_second) {
    Domain* domain = NextDomain(domains);
    if (domain == nullptr) {
      break;
    }
    Candidate& candidate = domain->ranked[domain->selected++];
    capacity += candidate.capacity;
    selected.push_back(std::move(candidate));
  }
  return selected;
}

std::vector<core::RouterId> SelectActiveNames(
    std::vector<Candidate> candidates,
    const ActiveSetRequirements& requirements) {
  std::vector<core::RouterId> names;
  for (Candidate& selected :
       SelectActive(std::move(candidates), requirements)) {
    names.push_back(std::move(selected.router));
  }
  return names;
}

}  // namespace coppervalve::entry
