#ifndef COPPERVALVE_ENTRY_PLACEMENT_H_
#define COPPERVALVE_ENTRY_PLACEMENT_H_

#include <cstdint>      // uint8_t, uint32_t
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/routing/random_hook.h"

namespace coppervalve::entry {

/// @brief Why an upstream was chosen, or why none was.
enum class PlacedBy : uint8_t {
  kLeastLoad,
  kPrefixOwner,  ///< first by rendezvous hashing of the shared prompt parts
  kPrefixNext,   ///< a later one: those before it are above the load bound
  kLastResort,   ///< none that is trusted is left
  kNoneLeft,     ///< none chosen: all were tried or are at their bound
  kNoneKnown,    ///< none chosen: the service has no upstream
};

/// @brief Stable lower_snake_case name for log lines.
std::string_view ToString(PlacedBy why);

/// @brief What is to be placed.
struct PlacementQuery {
  core::ServiceId service;
  std::string_view shared_prefix;  ///< empty = no affinity
  std::vector<core::UpstreamId> exclude;
  uint32_t connection_bound = 0;  ///< of this router per upstream; 0 = none
};

/// @brief Where it goes, and the facts that decided.
struct Placement {
  UpstreamRef upstream;  ///< null: see `why`
  PlacedBy why = PlacedBy::kNoneKnown;
  uint32_t candidates = 0;
  double load = 0;
};

/// @brief Constants of the policy.
struct PlacementOptions {
  /// The owner of a prefix is passed over above this multiple of the mean.
  double load_bound = 1.25;
  /// Load that is always allowed, so that a calm fleet keeps affinity.
  double free_load = 4;
  /// Prompt tokens in prefill that weigh as much as one running request.
  double prefill_unit = 4'000;
  /// Load that another failure domain must save to be worth the way.
  double domain_bonus = 0.5;
};

/// @brief Places requests on the upstreams of a service by what this router
/// has in progress there: it must work without word from others.
class Placer {
 public:
  Placer(PlacementOptions options,
         core::FailureDomainId own_domain,
         routing::RandomHook random);

  /// @complexity linear in the upstreams of the service
  Placement Choose(const UpstreamDirectory& directory,
                   const PlacementQuery& query,
                   core::TimePoint now) const;

 private:
  struct Candidate {
    UpstreamRef upstream;
    double load = 0;
  };
  std::vector<Candidate> Candidates(const std::vector<UpstreamRef>& upstreams,
                                    const PlacementQuery& query,
                                    Trust least,
                                    core::TimePoint now) const;
  Placement ByPrefix(std::vector<Candidate> candidates,
                     std::string_view prefix) const;
  Placement ByLoad(const std::vector<Candidate>& candidates) const;

  PlacementOptions m_options;
  core::FailureDomainId m_own_domain;
  routing::RandomHook m_random;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PLACEMENT_H_
