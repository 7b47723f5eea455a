#ifndef COPPERVALVE_ENTRY_PLACEMENT_H_
#define COPPERVALVE_ENTRY_PLACEMENT_H_

#include <cstdint>      // uint8_t, uint32_t
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/peer_loads.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/upstream_gate.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::entry {

/// @brief Why an upstream was chosen, or why none was.
enum class PlacedBy : uint8_t {
  kLeastCost,    ///< least expected wait
  kPrefixOwner,  ///< as above, and first by hashing of the shared prefix
  kPrefixSent,   ///< as above, and this router sent the prefix there lately
  kTold,         ///< a router that follows the table said so
  kLastResort,   ///< none that is trusted is left
  kNoneLeft,     ///< none chosen: all were tried or are at their bound
  kWarmingUp,    ///< none chosen: cold ones are left, and got what they bear
  kLimited,      ///< none chosen: those that are left named limits
  kEvacuated,    ///< none chosen: all are in evacuated failure domains
  kNoneKnown,    ///< none chosen: the service has no upstream
};

/// @brief Stable lower_snake_case name for log lines.
std::string_view ToString(PlacedBy why);

/// @brief What is to be placed.
struct PlacementQuery {
  core::ServiceId service;
  bool engine = false;           ///< the service's upstreams are engines
  std::string shared_prefix;     ///< empty = nothing to find again
  core::Tokens shared_tokens{};  ///< of the prefix
  core::Tokens prompt{};         ///< all of it
  std::vector<core::UpstreamId> exclude;
  uint32_t connection_bound = 0;  ///< of this router per upstream; 0 = none
  uint32_t routers = 1;           ///< that send to the service, this included
};

/// @brief Where it goes, and the facts that decided.
struct Placement {
  UpstreamRef upstream;  ///< null: see `why`
  PlacedBy why = PlacedBy::kNoneKnown;
  uint32_t candidates = 0;
  uint32_t reporting = 0;  ///< routers whose work was known
  double cost = 0;
  /// What must be read before the request's own part where that is least: work
  /// that waits, and what the engine doesn't keep of the shared part; in tokens
  /// of an engine of usual pace.
  double waiting = 0;
  /// What waits at the chosen engine, with all of the request's own.
  double to_read = 0;
  /// The request's own part of it.
  double own_reading = 0;
};

/// @brief Constants of the policy. Costs of engines are in prompt tokens that
/// must be read first, those of plain services in requests.
struct PlacementOptions {
  /// A shared token that must be read again counts this often: it delays this
  /// request and takes time and memory from others.
  double missed_prefix = 16;
  /// A running generation slows others a little.
  double running = 40;
  /// Beyond its slots an engine makes requests wait for a whole one to end.
  double beyond_slots = 6'000;
  /// Reading grows faster than the prompt: twice the cost a token at this
  /// length.
  double double_at = 40'000;
  /// Saved by staying in the own failure domain, in requests.
  double own_domain = 0.4;
  /// Requests of a plain service beyond its slots count this often.
  double beyond_plain_slots = 3;
  /// A cold engine costs so much more, a cold upstream of a plain service so
  /// many requests.
  double cold = 6'000;
  double cold_plain = 2;
  /// Send a shared prefix to the upstream that all routers agree on.
  bool prefix_owner = true;
  /// Send it where this router sent it lately.
  bool prefix_sent = true;
  /// Expect slow upstreams to be slow again.
  bool slowness = true;
  /// Prefer upstreams that did not fail lately.
  bool suspicion = true;
  /// Take the work of routers that don't report to be like ours.
  bool guess_silent = true;
};

/// @brief Places requests on the upstreams of a service by the wait that they
/// are expected to meet there: what this router and those that reported have
/// in progress; for routers that did not report, as much as this one has.
class Placer {
 public:
  Placer(PlacementOptions options,
         core::FailureDomainId own_domain,
         const PeerLoads& peers,
         const UpstreamGate& gate,
         routing::RandomSource random);

  /// @complexity linear in the upstreams of the service
  Placement Choose(const UpstreamDirectory& directory,
                   const PlacementQuery& query,
                   core::TimePoint now) const;
  /// @return what reading a prompt costs, in tokens of a short one
  double ReadingCost(core::Tokens prompt) const;

 private:
  struct Candidate {
    UpstreamRef upstream;
    double cost = 0;
    bool owner = false;
    bool sent = false;
    double in_prefill = 0;
    double own_reading = 0;  ///< of what it doesn't keep
    double slowness = 1;
  };
  std::vector<UpstreamRef> Usable(const std::vector<UpstreamRef>& upstreams,
                                  const PlacementQuery& query,
                                  Trust least,
                                  core::TimePoint now) const;
  PlacedBy WhyNone(const std::vector<UpstreamRef>& upstreams,
                   core::TimePoint now) const;
  Load LoadOf(const Upstream& upstream, const PlacementQuery& query) const;
  Candidate CostAtEngine(const UpstreamRef& upstream,
                         const PlacementQuery& query,
                         uint64_t prefix,
                         bool owner,
                         double usual_pace,
                         core::TimePoint now) const;
  Candidate CostAtPlain(const UpstreamRef& upstream,
                        const PlacementQuery& query,
                        double usual_pace,
                        core::TimePoint now) const;
  double WaitingAt(const Candidate& candidate,
                   const PlacementQuery& query) const;
  Placement Cheapest(const std::vector<UpstreamRef>& usable,
                     const PlacementQuery& query,
                     core::TimePoint now) const;

  PlacementOptions m_options;
  core::FailureDomainId m_own_domain;
  const PeerLoads& m_peers;
  const UpstreamGate& m_gate;
  routing::RandomSource m_random;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PLACEMENT_H_
