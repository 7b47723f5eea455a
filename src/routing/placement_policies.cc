#include <algorithm>    // sort
#include <array>        // array
#include <cstring>      // memcpy
#include <memory>       // make_shared
#include <string_view>  // string_view
#include <utility>      // move

#include "coppervalve/core/hash.h"
#include "coppervalve/routing/placement.h"

namespace coppervalve::routing {

namespace {

uint64_t AffinityRank(const Candidate& candidate, uint64_t affinity) {
  std::array<char, sizeof(uint64_t)> bytes{};
  std::memcpy(bytes.data(), &candidate.id_hash, bytes.size());
  return core::Hash64(std::string_view(bytes.data(), bytes.size()), affinity);
}

bool LessLoaded(const Candidate& a, const Candidate& b) {
  if (a.Utilization() != b.Utilization()) {
    return a.Utilization() < b.Utilization();
  }
  return a.same_domain && !b.same_domain;
}

PolicyChoice ChooseLeastOfTwo(std::span<const Candidate> candidates,
                              const RandomHook& random) {
  const size_t first = UniformBelow(random, candidates.size());
  size_t second = UniformBelow(random, candidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  const bool second_is_better =
      LessLoaded(candidates[second], candidates[first]);
  return {second_is_better ? second : first, PlacementWhy::kLeastOfTwo};
}

/// The nearness of a candidate to the prompt prefix, a hint at a warm cache.
enum class Nearness : uint8_t { kOwner, kNear, kAny };

constexpr size_t kNearRanks = 3;

/// One line of the ordered list; the fields are upper bounds.
struct Criterion {
  uint32_t queued;
  double utilization;
  Nearness nearness;
};

constexpr uint32_t kAnyQueue = UINT32_MAX;
constexpr double kAnyLoad = 1e9;
constexpr uint32_t kShortQueue = 1;
constexpr double kHalfLoad = 0.5;

/// In the order of the Best Copy Selection list: queue and load and warmth
/// first, each condition given up in turn.
constexpr std::array<Criterion, 10> kCriteria{{
    {kShortQueue, kHalfLoad, Nearness::kOwner},
    {kShortQueue, kHalfLoad, Nearness::kNear},
    {kAnyQueue, kHalfLoad, Nearness::kOwner},
    {kAnyQueue, kHalfLoad, Nearness::kNear},
    {kAnyQueue, kHalfLoad, Nearness::kAny},
    {kShortQueue, kAnyLoad, Nearness::kOwner},
    {kShortQueue, kAnyLoad, Nearness::kNear},
    {kAnyQueue, kAnyLoad, Nearness::kOwner},
    {kAnyQueue, kAnyLoad, Nearness::kNear},
    {kAnyQueue, kAnyLoad, Nearness::kAny},
}};

struct RankedCandidate {
  size_t index = 0;
  uint64_t rank = 0;
  Nearness nearness = Nearness::kAny;
};

std::vector<RankedCandidate> RankByNearness(
    std::span<const Candidate> candidates,
    uint64_t affinity) {
  std::vector<RankedCandidate> ranked;
  for (size_t index = 0; index < candidates.size(); ++index) {
    ranked.push_back({index, AffinityRank(candidates[index], affinity)});
  }
  if (affinity == 0) {
    return ranked;
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedCandidate& a, const RankedCandidate& b) {
              return a.rank > b.rank;
            });
  for (size_t place = 0; place < ranked.size() && place < kNearRanks; ++place) {
    ranked[place].nearness = place == 0 ? Nearness::kOwner : Nearness::kNear;
  }
  return ranked;
}

bool Meets(const Candidate& candidate,
           Nearness nearness,
           const Criterion& criterion) {
  const bool near_enough =
      criterion.nearness == Nearness::kAny || nearness == criterion.nearness;
  return near_enough && candidate.queued <= criterion.queued &&
         candidate.Utilization() < criterion.utilization;
}

/// Sorts by queue length, then by preference, as the list's first step does.
void SortByPreference(std::vector<RankedCandidate>& ranked,
                      std::span<const Candidate> candidates) {
  std::sort(ranked.begin(), ranked.end(),
            [candidates](const RankedCandidate& a, const RankedCandidate& b) {
              const Candidate& first = candidates[a.index];
              const Candidate& second = candidates[b.index];
              if (first.queued != second.queued) {
                return first.queued < second.queued;
              }
              if (first.Utilization() != second.Utilization()) {
                return first.Utilization() < second.Utilization();
              }
              if (first.same_domain != second.same_domain) {
                return first.same_domain;
              }
              return first.id_hash < second.id_hash;
            });
}

PolicyChoice ChooseByCriteria(std::span<const Candidate> candidates,
                              uint64_t affinity) {
  std::vector<RankedCandidate> ranked = RankByNearness(candidates, affinity);
  SortByPreference(ranked, candidates);
  uint32_t number = 0;
  for (const Criterion& criterion : kCriteria) {
    ++number;
    for (const RankedCandidate& entry : ranked) {
      if (Meets(candidates[entry.index], entry.nearness, criterion)) {
        return {entry.index, PlacementWhy::kCriterion, number};
      }
    }
  }
  return {ranked.front().index, PlacementWhy::kCriterion, number};
}

double MeanLoad(std::span<const Candidate> candidates) {
  double sum = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.Load();
  }
  return sum / static_cast<double>(candidates.size());
}

PolicyChoice ChooseByPrefix(std::span<const Candidate> candidates,
                            uint64_t affinity,
                            const PrefixAffineOptions& options) {
  const double bound =
      MeanLoad(candidates) * options.load_bound + options.free_load;
  size_t owner = 0;
  uint64_t owner_rank = 0;
  size_t best = 0;
  uint64_t best_rank = 0;
  for (size_t index = 0; index < candidates.size(); ++index) {
    const Candidate& candidate = candidates[index];
    const uint64_t rank = AffinityRank(candidate, affinity);
    if (rank >= owner_rank) {
      owner = index;
      owner_rank = rank;
    }
    if (candidate.Load() <= bound && rank >= best_rank) {
      best = index;
      best_rank = rank;
    }
  }
  const bool is_owner = best == owner;
  return {best, is_owner ? PlacementWhy::kPrefixOwner
                         : PlacementWhy::kPrefixOverflow};
}

}  // namespace

PlacementPolicy RoundRobin() {
  auto last = std::make_shared<uint64_t>(0);
  return [last](std::span<const Candidate> candidates, uint64_t) {
    std::optional<size_t> next;
    size_t lowest = 0;
    for (size_t index = 0; index < candidates.size(); ++index) {
      const uint64_t slot = candidates[index].slot.value();
      if (slot < candidates[lowest].slot.value()) {
        lowest = index;
      }
      const bool after = slot > *last;
      if (after && (!next || slot < candidates[*next].slot.value())) {
        next = index;
      }
    }
    const size_t chosen = next.value_or(lowest);
    *last = candidates[chosen].slot.value();
    return PolicyChoice{chosen, PlacementWhy::kRoundRobin};
  };
}

PlacementPolicy OrderedCriteria() {
  return ChooseByCriteria;
}

PlacementPolicy LeastOfTwo(RandomHook random) {
  return [random = std::move(random)](std::span<const Candidate> candidates,
                                      uint64_t) {
    return ChooseLeastOfTwo(candidates, random);
  };
}

PlacementPolicy PrefixAffine(PrefixAffineOptions options, RandomHook random) {
  return [options, random = std::move(random)](
             std::span<const Candidate> candidates, uint64_t affinity) {
    if (affinity == 0) {
      return ChooseLeastOfTwo(candidates, random);
    }
    return ChooseByPrefix(candidates, affinity, options);
  };
}

PlacementPolicy DefaultPolicy(RandomHook random) {
  return PrefixAffine({}, std::move(random));
}

}  // namespace coppervalve::routing
