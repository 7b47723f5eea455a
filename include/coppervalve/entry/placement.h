#ifndef COPPERVALVE_ENTRY_PLACEMENT_H_
#define COPPERVALVE_ENTRY_PLACEMENT_H_

#include <cstdint>      // uint8_t, uint32_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/peer_loads.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/upstream_gate.h"
#include "coppervalve/entry/working_set.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::entry {

/// @brief Why an upstream was chosen, or why none was.
enum class PlacementReason : uint8_t {
  kLeastCost,      ///< lowest expected wait
  kPrefixOwner,    ///< as above, and owns the shared prefix by hashing
  kPrefixSent,     ///< as above, and was recently sent the prefix
  kChosenByPeer,   ///< chosen by a router that follows the upstream table
  kLastResort,     ///< no trusted upstream is left
  kNoneLeft,       ///< none: all were tried or are at their connection limit
  kWarmingUp,      ///< none: those left are cold and at their rate limit
  kLimited,        ///< none: those left are at the rate limits they sent
  kEvacuated,      ///< none: all are in evacuated failure domains
  kOtherVersion,   ///< none: no upstream has the required version
  kTableOutdated,  ///< none: no router asked has a current upstream table
  kNoneKnown,      ///< none: the service has no upstream
};

/// @brief Stable lower_snake_case name for log lines.
std::string_view ToString(PlacementReason why);

/// @brief A request to place on an upstream.
struct PlacementQuery {
  core::ServiceId service;
  bool engine = false;           ///< the service's upstreams are engines
  std::string shared_prefix;     ///< empty if the prompt shares no prefix
  core::Tokens shared_tokens{};  ///< length of the prefix
  core::Tokens prompt{};         ///< length of the whole prompt
  std::vector<core::UpstreamId> exclude;
  /// Software version that the upstream must have; none: any.
  std::optional<core::UpstreamVersion> version;
  /// The version is required but unknown: the router that chooses has to know
  /// that the service had a single one for as long as a stream may last.
  bool sole_version_only = false;
  /// Maximum of this router's requests in progress per upstream; 0 = unlimited.
  uint32_t connection_bound = 0;
  /// Number of routers that send to the service, this one included.
  uint32_t routers = 1;
};

/// @brief The copy of the upstream table that a placement was chosen from.
struct TableSource {
  core::RouterId router;  ///< whose copy; empty: this router's own
  core::Duration age{};   ///< when the upstream was chosen
  bool outdated = false;  ///< may name upstreams that have left
  uint32_t routers_asked = 0;
};

/// @brief The chosen upstream and the facts behind the choice.
struct Placement {
  TableSource table;
  UpstreamRef upstream;  ///< null: see `why`
  PlacementReason why = PlacementReason::kNoneKnown;
  uint32_t candidates = 0;
  uint32_t reporting = 0;  ///< routers with a current load report
  double cost = 0;
  /// Prefill cost ahead of the request's own prompt part at the upstream where
  /// it is lowest: queued work, plus shared tokens that are not cached there.
  /// In tokens of an engine of median speed.
  double queued_prefill = 0;
  /// Queued prefill at the chosen engine plus that of the request.
  double total_prefill = 0;
  /// The request's part of `total_prefill`.
  double own_prefill = 0;
};

/// @return the age up to which a copy of the upstream table may be used, so
/// that requests arrive before its upstreams have left for longer than the
/// bound
/// @param drain_bound time after which an upstream that has left gets no more
/// requests
core::Duration MaxTableAge(core::Duration drain_bound);

/// @brief Constants of the placement policy. Costs at engines are in prompt
/// tokens that must be processed first, at plain services in requests.
struct PlacementOptions {
  /// Weight of a shared token that is not cached: processing it again delays
  /// this request and takes time and memory from others.
  double missed_token_weight = 16;
  /// Cost of a running generation, which slows others a little.
  double running_cost = 40;
  /// Cost of each request beyond the slots of an engine, as it waits for
  /// another one to complete.
  double over_slots_cost = 6'000;
  /// Prompt length at which the prefill cost per token has doubled: prefill
  /// time grows faster than the prompt.
  double double_cost_at = 40'000;
  /// Bonus for an upstream in the router's own failure domain, in requests.
  double own_domain_bonus = 0.4;
  /// Weight of requests beyond the slots of a plain service's upstream.
  double over_slots_weight_plain = 3;
  /// Additional cost of a cold engine, and of a cold upstream of a plain
  /// service in requests.
  double cold_cost = 6'000;
  double cold_cost_plain = 2;
  /// Prefer the upstream that all routers agree on for a shared prefix.
  bool use_prefix_owner = true;
  /// Prefer upstreams to which this router recently sent the prefix.
  bool use_prefix_sent = true;
  /// Expect slow upstreams to stay slow.
  bool use_slowness = true;
  /// Prefer upstreams without recent failures.
  bool use_suspicion = true;
  /// Assume that routers without a report have as much work in progress as this
  /// one.
  bool estimate_silent = true;
};

/// @brief Places requests on the upstreams of a service by their expected wait.
/// The load of an upstream is the work in progress of this router and of those
/// that report, and for each other router an estimate equal to this one's.
class Placer {
 public:
  Placer(PlacementOptions options,
         core::FailureDomainId own_domain,
         const PeerLoads& peers,
         const UpstreamGate& gate,
         routing::RandomSource random);

  /// @complexity linear in the working set of the service, and in the unusable
  /// upstreams before its end
  Placement Choose(const UpstreamDirectory& directory,
                   const PlacementQuery& query,
                   core::TimePoint now);
  /// @return the prefill cost of a prompt, in tokens of a short one
  double PrefillCost(core::Tokens prompt) const;

 private:
  struct Candidate {
    UpstreamRef upstream;
    double cost = 0;
    bool is_owner = false;
    bool recently_sent = false;
    double in_prefill = 0;
    double own_prefill = 0;  ///< prefill of tokens that it has not cached
    double slowness = 1;
  };
  std::vector<UpstreamRef> Usable(const std::vector<UpstreamRef>& upstreams,
                                  const PlacementQuery& query,
                                  Trust required_trust,
                                  core::TimePoint now) const;
  PlacementReason ReasonForNone(const std::vector<UpstreamRef>& upstreams,
                                const PlacementQuery& query,
                                core::TimePoint now) const;
  bool IsFullAndBrittle(const Upstream& upstream,
                        const PlacementQuery& query,
                        core::TimePoint now) const;
  Load LoadOf(const Upstream& upstream, const PlacementQuery& query) const;
  /// @return requests of all routers in progress, including the next one
  double RequestsInProgress(const std::vector<UpstreamRef>& upstreams,
                            const PlacementQuery& query) const;
  Candidate CostAtEngine(const UpstreamRef& upstream,
                         const PlacementQuery& query,
                         uint64_t prefix,
                         bool owner,
                         double median_latency,
                         core::TimePoint now) const;
  Candidate CostAtPlain(const UpstreamRef& upstream,
                        const PlacementQuery& query,
                        double median_latency,
                        core::TimePoint now) const;
  double QueuedPrefillAt(const Candidate& candidate,
                         const PlacementQuery& query) const;
  Placement Cheapest(const std::vector<UpstreamRef>& usable,
                     const PlacementQuery& query,
                     core::TimePoint now) const;

  PlacementOptions m_options;
  core::FailureDomainId m_own_domain;
  const PeerLoads& m_peers;
  const UpstreamGate& m_gate;
  WorkingSets m_working_sets;
  routing::RandomSource m_random;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PLACEMENT_H_
