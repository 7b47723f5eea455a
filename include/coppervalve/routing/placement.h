#ifndef COPPERVALVE_ROUTING_PLACEMENT_H_
#define COPPERVALVE_ROUTING_PLACEMENT_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <functional>   // function
#include <optional>     // optional
#include <span>         // span
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/upstream_table.h"

namespace coppervalve::routing {

/// @brief Why an upstream was chosen, or reason none was.
enum class ChoiceReason : uint8_t {
  kRoundRobin,
  kCriterion,       ///< first of the ordered criteria that a candidate met
  kLeastOfTwo,      ///< lower estimated load of two random candidates
  kPrefixOwner,     ///< first by rendezvous hashing of the prompt prefix
  kPrefixOverflow,  ///< a later one: those before it are above the load bound
  kOnlyCandidate,
  kLastResort,   ///< nothing healthy; it still answers some requests
  kAllBusy,      ///< none chosen: wait for capacity
  kNoneAlive,    ///< none chosen: all are ejected or leaving
  kNoCandidate,  ///< none chosen: nothing is configured for the work
};

/// @brief Stable lower_snake_case name for log lines.
std::string_view ToString(ChoiceReason reason);

/// @brief What a placement is asked for.
struct PlacementRequest {
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  uint64_t affinity = 0;  ///< hash of the prompt prefix; 0 = none
  /// Tried before by this request: taken again only when no other is usable.
  std::vector<core::UpstreamId> exclude;
};

/// @brief What a policy chose among usable candidates.
struct PolicyChoice {
  size_t index = 0;
  ChoiceReason reason = ChoiceReason::kOnlyCandidate;
  uint32_t criterion = 0;  ///< 1-based; with kCriterion only
};

/// @brief Chooses one of at least one usable candidates. @complexity linear
using PlacementPolicy =
    std::function<PolicyChoice(std::span<const Candidate> candidates,
                               uint64_t affinity)>;

/// @brief In turn; the baseline.
PlacementPolicy RoundRobin();
/// @brief Tiers of queue length, load and warm prefix, then preference.
PlacementPolicy OrderedCriteria();
/// @brief The less loaded of two random candidates.
PlacementPolicy LeastOfTwo(RandomSource random);
/// @brief Constants of the prefix-affine policy.
struct PrefixAffineOptions {
  /// The owner of a prefix is passed over above this multiple of the mean load.
  double load_bound = 1.25;
  /// Load that is always allowed, so that an idle fleet keeps affinity.
  double load_allowance = 1;
};
/// @brief Rendezvous hashing of the prefix with bounded load; the less loaded
/// of two for work without a prefix.
PlacementPolicy PrefixAffine(PrefixAffineOptions options, RandomSource random);
/// @brief The best as measured by bench/routing.
PlacementPolicy DefaultPolicy(RandomSource random);

/// @brief The outcome of a placement with the facts behind it.
struct PlacementDecision {
  std::optional<core::UpstreamId> upstream;
  ChoiceReason reason = ChoiceReason::kNoCandidate;
  uint32_t criterion = 0;
  size_t considered = 0;  ///< candidates looked at
  size_t usable = 0;
  /// The chosen one first, then the best rivals, or the first that were
  /// unusable.
  std::vector<Candidate> facts;
};

/// @brief Bounds of one placement.
struct PlacementOptions {
  size_t window = 64;     ///< usable candidates handed to the policy
  size_t max_scan = 256;  ///< candidates looked at to fill the window
  size_t facts = 4;       ///< candidates described in the log line
};

/// @brief Chooses upstreams with one policy over a bounded window.
class Placement {
 public:
  Placement(PlacementOptions options,
            PlacementPolicy policy,
            RandomSource random,
            core::FailureDomainId own_domain);

  /// @brief Chooses an upstream; does not count the dispatch.
  /// @complexity O(max_scan), whatever the size of the set
  PlacementDecision Choose(const UpstreamTable& table,
                           const CandidateSet& candidates,
                           const PlacementRequest& request,
                           core::TimePoint now) const;

 private:
  struct Scan;

  Scan ScanWindow(const UpstreamTable& table,
                  const CandidateSet& candidates,
                  const PlacementRequest& request,
                  core::TimePoint now) const;
  void Classify(const Candidate& candidate, Scan& scan) const;
  size_t WindowStart(const UpstreamTable& table,
                     const CandidateSet& candidates,
                     uint64_t affinity) const;

  PlacementOptions m_options;
  PlacementPolicy m_policy;
  RandomSource m_random;
  core::FailureDomainId m_own_domain;
};

/// @brief The facts of a decision for its log line, for example
/// "eng-3 load=4 own=2 limit=16 queued=0 health=healthy; eng-7 ...".
std::string DescribeFacts(const PlacementDecision& decision,
                          const UpstreamTable& table);

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_PLACEMENT_H_
