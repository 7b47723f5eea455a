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

/// @brief Why an upstream was chosen, or why none was.
enum class ChoiceReason : uint8_t {
  kRoundRobin,
  kCriterion,       ///< first of the ordered criteria that a candidate met
  kLeastOfTwo,      ///< lower estimated load of two random candidates
  kPrefixOwner,     ///< first by rendezvous hashing of the prompt prefix
  kPrefixOverflow,  ///< a lower-ranked candidate: those ranked higher exceed
                    ///< the load bound
  kOnlyCandidate,
  kLastResort,   ///< no healthy candidate; this one still answers some requests
  kAllBusy,      ///< none chosen: wait for capacity
  kNoneAlive,    ///< none chosen: all are ejected or leaving
  kNoCandidate,  ///< none chosen: no upstream is configured for the target
};

/// @brief Stable lower_snake_case name for log lines.
std::string_view ToString(ChoiceReason reason);

/// @brief Input of one placement.
struct PlacementRequest {
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  uint64_t affinity = 0;  ///< hash of the prompt prefix; 0 = none
  /// Upstreams that this request has tried; chosen again only when no other is
  /// usable.
  std::vector<core::UpstreamId> exclude;
};

/// @brief Choice of a policy among usable candidates.
struct PolicyChoice {
  size_t index = 0;
  ChoiceReason reason = ChoiceReason::kOnlyCandidate;
  uint32_t criterion = 0;  ///< 1-based; with kCriterion only
};

/// @brief Chooses one of the usable candidates. @pre there is at least one
/// @complexity linear
using PlacementPolicy =
    std::function<PolicyChoice(std::span<const Candidate> candidates,
                               uint64_t affinity)>;

/// @brief Chooses the candidates in turn; the baseline of the benchmarks.
PlacementPolicy RoundRobin();
/// @brief Applies an ordered list of criteria on queue length, load and prefix
/// affinity; orders candidates that meet the same criterion by preference.
PlacementPolicy OrderedCriteria();
/// @brief Chooses the less loaded of two random candidates.
PlacementPolicy LeastOfTwo(RandomSource random);
/// @brief Options of the prefix-affine policy.
struct PrefixAffineOptions {
  /// The owner of a prefix is skipped when its load exceeds this multiple of
  /// the mean load.
  double load_bound = 1.25;
  /// Load that is always allowed, so that affinity also holds in an idle fleet.
  double load_allowance = 1;
};
/// @brief Chooses by rendezvous hashing of the prefix with bounded load;
/// without a prefix, the less loaded of two random candidates.
PlacementPolicy PrefixAffine(PrefixAffineOptions options, RandomSource random);
/// @brief The policy with the best results in bench/routing.
PlacementPolicy DefaultPolicy(RandomSource random);

/// @brief Result of a placement and the candidate data it is based on.
struct PlacementDecision {
  std::optional<core::UpstreamId> upstream;
  ChoiceReason reason = ChoiceReason::kNoCandidate;
  uint32_t criterion = 0;
  size_t considered = 0;  ///< candidates inspected
  size_t usable = 0;
  /// The chosen candidate, then other usable ones; when none was chosen, the
  /// first unusable candidates.
  std::vector<Candidate> facts;
};

/// @brief Limits of one placement.
struct PlacementOptions {
  size_t window = 64;     ///< maximum usable candidates passed to the policy
  size_t max_scan = 256;  ///< maximum candidates inspected to fill the window
  size_t facts = 4;       ///< maximum candidates described in the log line
};

/// @brief Chooses upstreams with one policy from a bounded window of
/// candidates.
class Placement {
 public:
  Placement(PlacementOptions options,
            PlacementPolicy policy,
            RandomSource random,
            core::FailureDomainId own_domain);

  /// @brief Chooses an upstream. Does not count the dispatch.
  /// @complexity O(max_scan), independent of the size of the set
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

/// @brief Describes the candidates of a decision for its log line, for example
/// "eng-3 own=2 others=4 queued=0 limit=16 health=healthy state=usable; ...".
std::string DescribeFacts(const PlacementDecision& decision,
                          const UpstreamTable& table);

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_PLACEMENT_H_
