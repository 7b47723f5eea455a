#include "coppervalve/entry/placement.h"

#include <algorithm>  // clamp, find, max, min, nth_element
#include <limits>     // numeric_limits
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

constexpr double kMaxSlowness = 5;
// Until a request arrives at the chosen upstream: the reply of another router,
// and a new connection.
constexpr core::Duration kDeliveryTime{500'000};

bool Excluded(const PlacementQuery& query, const core::UpstreamId& id) {
  return std::find(query.exclude.begin(), query.exclude.end(), id) !=
         query.exclude.end();
}

bool HasRequiredVersion(const PlacementQuery& query, const Upstream& upstream) {
  return !query.version || *query.version == upstream.entry.version;
}

// The median latency per cost is the typical value for the current workload.
double MedianLatency(const std::vector<UpstreamRef>& upstreams) {
  std::vector<double> known;
  for (const UpstreamRef& upstream : upstreams) {
    if (upstream->health.latency_per_cost() > 0) {
      known.push_back(upstream->health.latency_per_cost());
    }
  }
  if (known.empty()) {
    return 0;
  }
  const auto middle =
      known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

double Slowness(const Upstream& upstream, double median) {
  const double latency_per_cost = upstream.health.latency_per_cost();
  if (median <= 0 || latency_per_cost <= 0) {
    return 1;
  }
  return std::clamp(latency_per_cost / median, 1.0, kMaxSlowness);
}

// Rendezvous hashing: all routers choose the same owner of a prefix without
// communication.
const Upstream* OwnerOf(const std::vector<UpstreamRef>& upstreams,
                        uint64_t prefix) {
  const Upstream* owner = nullptr;
  uint64_t highest = 0;
  for (const UpstreamRef& upstream : upstreams) {
    const uint64_t rank =
        core::RendezvousRank(prefix, upstream->entry.id.value());
    if (owner == nullptr || rank > highest) {
      owner = upstream.get();
      highest = rank;
    }
  }
  return owner;
}

}  // namespace

std::string_view ToString(PlacementReason why) {
  switch (why) {
    case PlacementReason::kLeastCost:
      return "least_cost";
    case PlacementReason::kPrefixOwner:
      return "prefix_owner";
    case PlacementReason::kPrefixSent:
      return "prefix_sent";
    case PlacementReason::kChosenByPeer:
      return "told";
    case PlacementReason::kLastResort:
      return "last_resort";
    case PlacementReason::kNoneLeft:
      return "none_left";
    case PlacementReason::kWarmingUp:
      return "warming_up";
    case PlacementReason::kLimited:
      return "limited";
    case PlacementReason::kEvacuated:
      return "evacuated";
    case PlacementReason::kOtherVersion:
      return "other_version";
    case PlacementReason::kTableOutdated:
      return "table_outdated";
    case PlacementReason::kNoneKnown:
      break;
  }
  return "none_known";
}

Placer::Placer(PlacementOptions options,
               core::FailureDomainId own_domain,
               const PeerLoads& peers,
               const UpstreamGate& gate,
               routing::RandomSource random)
    : m_options(options),
      m_own_domain(std::move(own_domain)),
      m_peers(peers),
      m_gate(gate),
      m_random(std::move(random)) {}

double Placer::PrefillCost(core::Tokens prompt) const {
  const auto tokens = static_cast<double>(prompt.value());
  return tokens * (1 + tokens / m_options.double_cost_at);
}

core::Duration MaxTableAge(core::Duration drain_bound) {
  return std::max(drain_bound - kDeliveryTime, drain_bound / 2);
}

Placement Placer::Choose(const UpstreamDirectory& directory,
                         const PlacementQuery& query,
                         core::TimePoint now) {
  const std::vector<UpstreamRef>& upstreams = directory.Of(query.service);
  if (upstreams.empty()) {
    return {};
  }
  if (query.sole_version_only && !query.version) {
    Placement none;
    none.why = PlacementReason::kOtherVersion;
    return none;
  }
  const Trust first = m_options.use_suspicion ? Trust::kFull : Trust::kSuspect;
  for (const Trust required_trust : {first, Trust::kSuspect, Trust::kNone}) {
    const std::vector<UpstreamRef> usable =
        Usable(upstreams, query, required_trust, now);
    if (usable.empty()) {
      continue;
    }
    Placement placement = Cheapest(usable, query, now);
    // Upstreams of one version carry only a part of the load.
    if (!query.version) {
      m_working_sets.OnLoad(query.service, RequestsInProgress(usable, query),
                            now);
    }
    if (required_trust == Trust::kNone) {
      placement.why = PlacementReason::kLastResort;
    }
    return placement;
  }
  Placement none;
  none.why = ReasonForNone(upstreams, query, now);
  return none;
}

PlacementReason Placer::ReasonForNone(const std::vector<UpstreamRef>& upstreams,
                                      const PlacementQuery& query,
                                      core::TimePoint now) const {
  bool evacuated = true;
  bool limited = false;
  bool other_version = true;
  for (const UpstreamRef& upstream : upstreams) {
    if (!HasRequiredVersion(query, *upstream)) {
      continue;
    }
    other_version = false;
    const GateState state = m_gate.StateOf(*upstream, now);
    if (state == GateState::kWarmingUp) {
      return PlacementReason::kWarmingUp;
    }
    limited = limited || state == GateState::kLimited ||
              state == GateState::kBrittle ||
              upstream->brittleness.IsBrittle(now);
    evacuated = evacuated && state == GateState::kEvacuated;
  }
  if (other_version) {
    return PlacementReason::kOtherVersion;
  }
  if (limited) {
    return PlacementReason::kLimited;
  }
  return evacuated ? PlacementReason::kEvacuated : PlacementReason::kNoneLeft;
}

std::vector<UpstreamRef> Placer::Usable(
    const std::vector<UpstreamRef>& upstreams,
    const PlacementQuery& query,
    Trust required_trust,
    core::TimePoint now) const {
  const size_t most = m_working_sets.SizeOf(query.service);
  std::vector<UpstreamRef> usable;
  for (const UpstreamRef& upstream : upstreams) {
    if (usable.size() == most) {
      break;
    }
    // An upstream whose entry expired may be gone; it is used only if nothing
    // else is left.
    const Trust trust =
        upstream->expired_at
            ? std::max(upstream->health.trust(now), Trust::kSuspect)
            : upstream->health.trust(now);
    if (trust > required_trust || Excluded(query, upstream->entry.id) ||
        !HasRequiredVersion(query, *upstream)) {
      continue;
    }
    // An upstream whose gate is closed is not used even as the last resort: it
    // would spend its time on rejecting requests.
    if (m_gate.StateOf(*upstream, now) != GateState::kOpen) {
      continue;
    }
    if (IsFullAndBrittle(*upstream, query, now)) {
      continue;
    }
    if (query.connection_bound != 0 &&
        upstream->in_flight >= query.connection_bound) {
      continue;
    }
    usable.push_back(upstream);
  }
  return usable;
}

// What waits in the queue of a brittle upstream may be rejected.
bool Placer::IsFullAndBrittle(const Upstream& upstream,
                              const PlacementQuery& query,
                              core::TimePoint now) const {
  return upstream.brittleness.IsBrittle(now) &&
         LoadOf(upstream, query).in_flight >= upstream.entry.slots;
}

// A router without a report is disconnected or lost its datagrams. It serves
// the same callers as this one, so its load is assumed to be the same.
Load Placer::LoadOf(const Upstream& upstream,
                    const PlacementQuery& query) const {
  const Load peers = m_peers.At(upstream.load_key);
  const uint32_t known = m_peers.Reporting() + 1;
  const bool estimate = m_options.estimate_silent && query.routers > known;
  const double silent = estimate ? query.routers - known : 0;
  return {upstream.in_flight * (1 + silent) + peers.in_flight,
          upstream.in_prefill * (1 + silent) + peers.in_prefill};
}

double Placer::RequestsInProgress(const std::vector<UpstreamRef>& upstreams,
                                  const PlacementQuery& query) const {
  double in_flight = 1;
  for (const UpstreamRef& upstream : upstreams) {
    in_flight += LoadOf(*upstream, query).in_flight;
  }
  return in_flight;
}

Placer::Candidate Placer::CostAtEngine(const UpstreamRef& upstream,
                                       const PlacementQuery& query,
                                       uint64_t prefix,
                                       bool owner,
                                       double median_latency,
                                       core::TimePoint now) const {
  Candidate candidate{upstream, 0, owner, false};
  candidate.recently_sent = m_options.use_prefix_sent &&
                            !query.shared_prefix.empty() &&
                            upstream->prefixes.Contains(prefix, now);
  const bool cached = owner || candidate.recently_sent;
  const core::Tokens own = query.prompt - query.shared_tokens;
  const double uncached_cost =
      cached ? 0
             : m_options.missed_token_weight *
                   static_cast<double>(query.shared_tokens.value());
  const Load load = LoadOf(*upstream, query);
  const double over_slots =
      std::max(0.0, load.in_flight + 1 - upstream->entry.slots);
  const double wait = load.in_prefill +
                      m_options.running_cost * load.in_flight +
                      m_options.over_slots_cost * over_slots + PrefillCost(own);
  candidate.slowness = Slowness(*upstream, median_latency);
  candidate.cost = wait * candidate.slowness + uncached_cost;
  if (m_gate.CountsAsCold(*upstream, now)) {
    candidate.cost += m_options.cold_cost;
  }
  candidate.in_prefill = load.in_prefill;
  candidate.own_prefill = PrefillCost(cached ? own : query.prompt);
  return candidate;
}

Placer::Candidate Placer::CostAtPlain(const UpstreamRef& upstream,
                                      const PlacementQuery& query,
                                      double median_latency,
                                      core::TimePoint now) const {
  const Load load = LoadOf(*upstream, query);
  const double over_slots =
      std::max(0.0, load.in_flight + 1 - upstream->entry.slots);
  double cost =
      1 + load.in_flight + m_options.over_slots_weight_plain * over_slots;
  cost *= Slowness(*upstream, median_latency);
  if (upstream->entry.failure_domain == m_own_domain) {
    cost -= m_options.own_domain_bonus;
  }
  if (m_gate.CountsAsCold(*upstream, now)) {
    cost += m_options.cold_cost_plain;
  }
  Candidate candidate{upstream};
  candidate.cost = cost;
  return candidate;
}

// Prefill ahead of the part of the prompt that no upstream can have cached.
double Placer::QueuedPrefillAt(const Candidate& candidate,
                               const PlacementQuery& query) const {
  const double own_cost = PrefillCost(query.prompt - query.shared_tokens);
  return (candidate.in_prefill + candidate.own_prefill - own_cost) *
         candidate.slowness;
}

Placement Placer::Cheapest(const std::vector<UpstreamRef>& usable,
                           const PlacementQuery& query,
                           core::TimePoint now) const {
  const double median_latency =
      m_options.use_slowness ? MedianLatency(usable) : 0;
  const bool has_owner =
      m_options.use_prefix_owner && !query.shared_prefix.empty();
  const uint64_t prefix = core::Hash64(query.shared_prefix);
  const Upstream* owner = has_owner ? OwnerOf(usable, prefix) : nullptr;
  Candidate best;
  double least_queued = std::numeric_limits<double>::max();
  // A random start distributes ties evenly.
  const size_t start = routing::UniformBelow(m_random, usable.size());
  for (size_t i = 0; i < usable.size(); ++i) {
    const UpstreamRef& upstream = usable[(start + i) % usable.size()];
    const Candidate candidate =
        query.engine
            ? CostAtEngine(upstream, query, prefix, upstream.get() == owner,
                           median_latency, now)
            : CostAtPlain(upstream, query, median_latency, now);
    least_queued = std::min(least_queued, QueuedPrefillAt(candidate, query));
    if (best.upstream == nullptr || candidate.cost < best.cost) {
      best = candidate;
    }
  }
  PlacementReason why = PlacementReason::kLeastCost;
  if (best.recently_sent) {
    why = PlacementReason::kPrefixSent;
  }
  if (best.is_owner) {
    why = PlacementReason::kPrefixOwner;
  }
  Placement placement;
  placement.upstream = best.upstream;
  placement.why = why;
  placement.candidates = static_cast<uint32_t>(usable.size());
  placement.reporting = m_peers.Reporting();
  placement.cost = best.cost;
  placement.queued_prefill = least_queued;
  placement.own_prefill = best.own_prefill;
  placement.total_prefill =
      (best.in_prefill + best.own_prefill) * best.slowness;
  return placement;
}

}  // namespace coppervalve::entry
