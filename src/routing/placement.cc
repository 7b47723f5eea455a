#include "coppervalve/routing/placement.h"

#include <algorithm>  // find, lower_bound, min, stable_sort
#include <utility>    // move

namespace coppervalve::routing {

std::string_view ToString(ChoiceReason reason) {
  switch (reason) {
    case ChoiceReason::kRoundRobin:
      return "round_robin";
    case ChoiceReason::kCriterion:
      return "criterion";
    case ChoiceReason::kLeastOfTwo:
      return "least_of_two";
    case ChoiceReason::kPrefixOwner:
      return "prefix_owner";
    case ChoiceReason::kPrefixOverflow:
      return "prefix_overflow";
    case ChoiceReason::kOnlyCandidate:
      return "only_candidate";
    case ChoiceReason::kLastResort:
      return "last_resort";
    case ChoiceReason::kAllBusy:
      return "all_busy";
    case ChoiceReason::kNoneAlive:
      return "none_alive";
    case ChoiceReason::kNoCandidate:
      return "no_candidate";
  }
  return "unknown";
}

/// Candidates of one placement, grouped into those that the policy may choose
/// from and the fallbacks.
struct Placement::Scan {
  std::vector<Candidate> usable;
  std::vector<Candidate> excluded;  ///< usable, but already tried
  std::vector<Candidate> last_resort;
  std::vector<Candidate> unusable;  ///< at most PlacementOptions::facts
  size_t considered = 0;
  bool any_busy = false;
  bool untried_busy = false;  ///< busy, and not yet tried
};

Placement::Placement(PlacementOptions options,
                     PlacementPolicy policy,
                     RandomSource random,
                     core::FailureDomainId own_domain)
    : m_options(options),
      m_policy(std::move(policy)),
      m_random(std::move(random)),
      m_own_domain(std::move(own_domain)) {}

PlacementDecision Placement::Choose(const UpstreamTable& table,
                                    const CandidateSet& candidates,
                                    const PlacementRequest& request,
                                    core::TimePoint now) const {
  PlacementDecision decision;
  if (candidates.empty()) {
    return decision;
  }
  Scan scan = ScanWindow(table, candidates, request, now);
  decision.considered = scan.considered;
  decision.usable = scan.usable.size() + scan.excluded.size();
  // Upstreams that were already tried are used again only when no untried
  // upstream will become free by waiting.
  if (scan.usable.empty() && !scan.untried_busy) {
    scan.usable = std::move(scan.excluded);
  }
  const bool healthy_left = !scan.usable.empty() || scan.any_busy;
  const bool last_resort = !healthy_left && !scan.last_resort.empty();
  if (last_resort) {
    scan.usable = std::move(scan.last_resort);
  }
  if (scan.usable.empty()) {
    decision.reason =
        scan.any_busy ? ChoiceReason::kAllBusy : ChoiceReason::kNoneAlive;
    decision.facts = std::move(scan.unusable);
    return decision;
  }
  PolicyChoice choice;
  if (scan.usable.size() > 1) {
    choice = m_policy(scan.usable, request.affinity);
  }
  decision.upstream = table.InfoOf(scan.usable[choice.index].slot).id;
  decision.reason = last_resort ? ChoiceReason::kLastResort : choice.reason;
  decision.criterion = choice.criterion;
  std::swap(scan.usable.front(), scan.usable[choice.index]);
  scan.usable.resize(std::min(scan.usable.size(), m_options.facts));
  decision.facts = std::move(scan.usable);
  return decision;
}

Placement::Scan Placement::ScanWindow(const UpstreamTable& table,
                                      const CandidateSet& candidates,
                                      const PlacementRequest& request,
                                      core::TimePoint now) const {
  std::vector<UpstreamSlot> excluded;
  for (const core::UpstreamId& id : request.exclude) {
    if (const std::optional<UpstreamSlot> slot = table.SlotOf(id)) {
      excluded.push_back(*slot);
    }
  }
  Scan scan;
  const size_t start = WindowStart(table, candidates, request.affinity);
  const size_t scan_limit = std::min(candidates.size(), m_options.max_scan);
  while (scan.considered < scan_limit &&
         scan.usable.size() < m_options.window) {
    const size_t index = (start + scan.considered) % candidates.size();
    ++scan.considered;
    Candidate candidate = table.Inspect(
        candidates[index], request.admission_class, m_own_domain, now);
    candidate.excluded = std::find(excluded.begin(), excluded.end(),
                                   candidate.slot) != excluded.end();
    Classify(candidate, scan);
  }
  return scan;
}

void Placement::Classify(const Candidate& candidate, Scan& scan) const {
  switch (candidate.usability) {
    case Usability::kUsable:
      (candidate.excluded ? scan.excluded : scan.usable).push_back(candidate);
      return;
    case Usability::kLastResort:
      scan.last_resort.push_back(candidate);
      return;
    case Usability::kBusy:
    case Usability::kHeldOff:
      scan.any_busy = true;
      scan.untried_busy = scan.untried_busy || !candidate.excluded;
      break;
    case Usability::kEjected:
    case Usability::kLeaving:
      break;
  }
  if (scan.unusable.size() < m_options.facts) {
    scan.unusable.push_back(candidate);
  }
}

size_t Placement::WindowStart(const UpstreamTable& table,
                              const CandidateSet& candidates,
                              uint64_t affinity) const {
  if (candidates.size() <= m_options.window) {
    return 0;
  }
  if (affinity == 0) {
    return UniformBelow(m_random, candidates.size());
  }
  // The window starts at the position of the prefix on the ring of id hashes. A
  // prefix has the same window at every router, and adding or removing a
  // candidate changes few windows.
  const auto found =
      std::lower_bound(candidates.begin(), candidates.end(), affinity,
                       [&table](UpstreamSlot slot, uint64_t hash) {
                         return table.IdHash(slot) < hash;
                       });
  return static_cast<size_t>(found - candidates.begin()) % candidates.size();
}

std::string DescribeFacts(const PlacementDecision& decision,
                          const UpstreamTable& table) {
  std::string text;
  for (const Candidate& fact : decision.facts) {
    if (!text.empty()) {
      text += "; ";
    }
    text += table.InfoOf(fact.slot).id.value();
    text += " own=" + std::to_string(fact.own);
    text += " others=" + std::to_string(fact.others);
    text += " queued=" + std::to_string(fact.queued);
    text += " limit=" + std::to_string(fact.limit);
    text += " health=";
    text += ToString(fact.health);
    text += " state=";
    text += ToString(fact.usability);
  }
  return text;
}

}  // namespace coppervalve::routing
