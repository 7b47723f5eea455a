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
                              const RandomSource& random) {
  const size_t first = UniformBelow(random, candidates.size());
  size_t second = UniformBelow(random, candidates.size() - 1);
  if (second >= first) {
    ++second;
  }
  const bool second_is_better =
      LessLoaded(candidates[second], candidates[first]);
  return {second_is_better ? second : first, ChoiceReason::kLeastOfTwo};
}

/// Rank group of a candidate for a prompt prefix; a higher one makes it more
/// likely that the prefix is in the candidate's cache.
enum class AffinityTier : uint8_t { kOwner, kNear, kAny };

constexpr size_t kTieredRanks = 3;

/// One entry of the ordered list. The numbers are upper bounds.
struct Criterion {
  uint32_t queued;
  double utilization;
  AffinityTier tier;
};

constexpr uint32_t kAnyQueue = UINT32_MAX;
constexpr double kAnyLoad = 1e9;
constexpr uint32_t kShortQueue = 1;
constexpr double kHalfLoad = 0.5;

/// In the order of the Best Copy Selection list: starts with conditions on
/// queue, load and prefix affinity, which are then dropped one after another.
constexpr std::array<Criterion, 10> kCriteria{{
    {kShortQueue, kHalfLoad, AffinityTier::kOwner},
    {kShortQueue, kHalfLoad, AffinityTier::kNear},
    {kAnyQueue, kHalfLoad, AffinityTier::kOwner},
    {kAnyQueue, kHalfLoad, AffinityTier::kNear},
    {kAnyQueue, kHalfLoad, AffinityTier::kAny},
    {kShortQueue, kAnyLoad, AffinityTier::kOwner},
    {kShortQueue, kAnyLoad, AffinityTier::kNear},
    {kAnyQueue, kAnyLoad, AffinityTier::kOwner},
    {kAnyQueue, kAnyLoad, AffinityTier::kNear},
    {kAnyQueue, kAnyLoad, AffinityTier::kAny},
}};

struct RankedCandidate {
  size_t index = 0;
  uint64_t rank = 0;
  AffinityTier tier = AffinityTier::kAny;
};

std::vector<RankedCandidate> RankByAffinity(
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
  for (size_t position = 0; position < ranked.size() && position < kTieredRanks;
       ++position) {
    ranked[position].tier =
        position == 0 ? AffinityTier::kOwner : AffinityTier::kNear;
  }
  return ranked;
}

bool Meets(const Candidate& candidate,
           AffinityTier tier,
           const Criterion& criterion) {
  const bool tier_matches =
      criterion.tier == AffinityTier::kAny || tier == criterion.tier;
  return tier_matches && candidate.queued <= criterion.queued &&
         candidate.Utilization() < criterion.utilization;
}

/// Sorts by queue length, then by preference, like the first step of Best Copy
/// Selection.
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
  std::vector<RankedCandidate> ranked = RankByAffinity(candidates, affinity);
  SortByPreference(ranked, candidates);
  uint32_t number = 0;
  for (const Criterion& criterion : kCriteria) {
    ++number;
    for (const RankedCandidate& entry : ranked) {
      if (Meets(candidates[entry.index], entry.tier, criterion)) {
        return {entry.index, ChoiceReason::kCriterion, number};
      }
    }
  }
  return {ranked.front().index, ChoiceReason::kCriterion, number};
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
      MeanLoad(candidates) * options.load_bound + options.load_allowance;
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
  return {best, is_owner ? ChoiceReason::kPrefixOwner
                         : ChoiceReason::kPrefixOverflow};
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
    return PolicyChoice{chosen, ChoiceReason::kRoundRobin};
  };
}

PlacementPolicy OrderedCriteria() {
  return ChooseByCriteria;
}

PlacementPolicy LeastOfTwo(RandomSource random) {
  return [random = std::move(random)](std::span<const Candidate> candidates,
                                      uint64_t) {
    return ChooseLeastOfTwo(candidates, random);
  };
}

PlacementPolicy PrefixAffine(PrefixAffineOptions options, RandomSource random) {
  return [options, random = std::move(random)](
             std::span<const Candidate> candidates, uint64_t affinity) {
    if (affinity == 0) {
      return ChooseLeastOfTwo(candidates, random);
    }
    return ChooseByPrefix(candidates, affinity, options);
  };
}

PlacementPolicy DefaultPolicy(RandomSource random) {
  return PrefixAffine({}, std::move(random));
}

}  // namespace coppervalve::routing
