#include "coppervalve/entry/placement.h"

#include <algorithm>  // find, nth_element, clamp, sort
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

constexpr double kMostSlowness = 4;

bool Excluded(const PlacementQuery& query, const core::UpstreamId& id) {
  return std::find(query.exclude.begin(), query.exclude.end(), id) !=
         query.exclude.end();
}

// Median of the smoothed latencies: what is usual for the present mix.
double UsualLatency(const std::vector<UpstreamRef>& upstreams) {
  std::vector<double> known;
  for (const UpstreamRef& upstream : upstreams) {
    const auto latency = upstream->health.latency().count();
    if (latency > 0) {
      known.push_back(static_cast<double>(latency));
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

double Slowness(const Upstream& upstream, double usual) {
  const auto latency = static_cast<double>(upstream.health.latency().count());
  if (usual <= 0 || latency <= 0) {
    return 1;
  }
  return std::clamp(latency / usual, 1.0, kMostSlowness);
}

}  // namespace

std::string_view ToString(PlacedBy why) {
  switch (why) {
    case PlacedBy::kLeastLoad:
      return "least_load";
    case PlacedBy::kPrefixOwner:
      return "prefix_owner";
    case PlacedBy::kPrefixNext:
      return "prefix_next";
    case PlacedBy::kLastResort:
      return "last_resort";
    case PlacedBy::kNoneLeft:
      return "none_left";
    case PlacedBy::kNoneKnown:
      break;
  }
  return "none_known";
}

Placer::Placer(PlacementOptions options,
               core::FailureDomainId own_domain,
               routing::RandomHook random)
    : m_options(options),
      m_own_domain(std::move(own_domain)),
      m_random(std::move(random)) {}

Placement Placer::Choose(const UpstreamDirectory& directory,
                         const PlacementQuery& query,
                         core::TimePoint now) const {
  const std::vector<UpstreamRef>& upstreams = directory.Of(query.service);
  if (upstreams.empty()) {
    return {};
  }
  for (const Trust least : {Trust::kFull, Trust::kSuspect, Trust::kNone}) {
    std::vector<Candidate> candidates =
        Candidates(upstreams, query, least, now);
    if (candidates.empty()) {
      continue;
    }
    Placement placement = query.shared_prefix.empty()
                              ? ByLoad(candidates)
                              : ByPrefix(candidates, query.shared_prefix);
    placement.candidates = static_cast<uint32_t>(candidates.size());
    if (least == Trust::kNone) {
      placement.why = PlacedBy::kLastResort;
    }
    return placement;
  }
  return {nullptr, PlacedBy::kNoneLeft, 0, 0};
}

std::vector<Placer::Candidate> Placer::Candidates(
    const std::vector<UpstreamRef>& upstreams,
    const PlacementQuery& query,
    Trust least,
    core::TimePoint now) const {
  const double usual = UsualLatency(upstreams);
  std::vector<Candidate> candidates;
  for (const UpstreamRef& upstream : upstreams) {
    if (upstream->health.trust(now) > least ||
        Excluded(query, upstream->entry.id)) {
      continue;
    }
    if (query.connection_bound != 0 &&
        upstream->in_flight >= query.connection_bound) {
      continue;
    }
    const double prefill = static_cast<double>(upstream->in_prefill.value()) /
                           m_options.prefill_unit;
    const double load = (static_cast<double>(upstream->in_flight) + prefill) *
                        Slowness(*upstream, usual);
    candidates.push_back({upstream, load});
  }
  return candidates;
}

// Consistent hashing with bounded loads: all routers agree on the owner of a
// prefix without talking, and none is driven past a multiple of the mean.
Placement Placer::ByPrefix(std::vector<Candidate> candidates,
                           std::string_view prefix) const {
  double total = 0;
  for (const Candidate& candidate : candidates) {
    total += candidate.load;
  }
  const double mean = total / static_cast<double>(candidates.size());
  const double bound = mean * m_options.load_bound + m_options.free_load;
  struct Ranked {
    uint64_t rank;
    size_t index;
  };
  std::vector<Ranked> order;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const std::string& id = candidates[i].upstream->entry.id.value();
    order.push_back({core::RendezvousRank(prefix, id), i});
  }
  std::sort(order.begin(), order.end(),
            [](const Ranked& a, const Ranked& b) { return a.rank > b.rank; });
  for (size_t place = 0; place < order.size(); ++place) {
    const Candidate& candidate = candidates[order[place].index];
    if (candidate.load > bound) {
      continue;
    }
    return {candidate.upstream,
            place == 0 ? PlacedBy::kPrefixOwner : PlacedBy::kPrefixNext, 0,
            candidate.load};
  }
  return ByLoad(candidates);
}

Placement Placer::ByLoad(const std::vector<Candidate>& candidates) const {
  const Candidate* best = nullptr;
  double best_load = 0;
  // Starting at a random one spreads ties over all.
  const size_t start = routing::UniformBelow(m_random, candidates.size());
  for (size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& candidate = candidates[(start + i) % candidates.size()];
    const bool own = candidate.upstream->entry.failure_domain == m_own_domain;
    const double load = candidate.load - (own ? m_options.domain_bonus : 0);
    if (best == nullptr || load < best_load) {
      best = &candidate;
      best_load = load;
    }
  }
  return {best->upstream, PlacedBy::kLeastLoad, 0, best->load};
}

}  // namespace coppervalve::entry
