#include "coppervalve/membership/address_list_builder.h"

#include <algorithm>  // max, min, partition_point, sort
#include <cmath>      // ldexp, log
#include <cstdint>    // uint64_t
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::membership {

struct AddressListBuilder::Candidate {
  const Member* member = nullptr;
  uint64_t load = 0;
  bool own_domain = false;
  double score = 0;  // lower is better
};

namespace {

/// Tolerated difference in load, because heartbeats report it with a delay.
constexpr uint64_t kLoadTolerance = 8;
constexpr uint64_t kHighLoadFactor = 2;
constexpr uint64_t kOverloadFactor = 4;
constexpr int kRankBits = 64;

/// The weight falls in steps, so that the routers of an account change only
/// when one is clearly busier than the mean.
double WeightOf(uint64_t load, uint64_t mean) {
  if (load > mean * kOverloadFactor + kLoadTolerance) {
    return 0.25;
  }
  return load > mean * kHighLoadFactor + kLoadTolerance ? 0.5 : 1.0;
}

/// Weighted rendezvous hashing: the probability that a router is first is
/// proportional to its weight, and the order of the other routers is unchanged.
double Score(const core::AccountId& account,
             const MemberId& id,
             double weight) {
  const uint64_t rank =
      core::RendezvousRank(account.value(), RendezvousName(id));
  const double uniform = std::ldexp(static_cast<double>(rank) + 1, -kRankBits);
  return -std::log(uniform) / weight;
}

uint64_t Total(const PeerLoad& load) {
  return uint64_t{load.in_progress} + load.queued;
}

}  // namespace

AddressListBuilder::AddressListBuilder(
    Member self,
    std::function<std::string(const MemberId&)> key_prefix,
    AddressLimits limits)
    : m_self(std::move(self)),
      m_key_prefix(std::move(key_prefix)),
      m_limits(limits) {}

void AddressListBuilder::SetLifetime(core::Duration lifetime) {
  m_limits.lifetime = lifetime;
}

std::vector<AddressListBuilder::Candidate> AddressListBuilder::CandidatesFor(
    const core::AccountId& account,
    const OwnState& own,
    const std::vector<Peer>& peers) const {
  std::vector<Candidate> candidates;
  if (own.listed) {
    candidates.push_back({&m_self, Total(own.load)});
  }
  for (const Peer& peer : peers) {
    if (!peer.reachable || peer.draining) {
      continue;
    }
    candidates.push_back({&peer.member, Total(peer.load)});
  }
  uint64_t sum = 0;
  for (const Candidate& candidate : candidates) {
    sum += candidate.load;
  }
  const uint64_t mean = sum / std::max<size_t>(candidates.size(), 1);
  for (Candidate& candidate : candidates) {
    candidate.own_domain =
        candidate.member->failure_domain == m_self.failure_domain;
    candidate.score =
        Score(account, candidate.member->id, WeightOf(candidate.load, mean));
  }
  return candidates;
}

v1::AddressList AddressListBuilder::AddressesFor(
    const core::AccountId& account,
    const OwnState& own,
    const std::vector<Peer>& peers) const {
  std::vector<Candidate> candidates = CandidatesFor(account, own, peers);
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.own_domain != b.own_domain ? a.own_domain
                                                  : a.score < b.score;
            });
  const auto first_other = std::partition_point(
      candidates.begin(), candidates.end(),
      [](const Candidate& candidate) { return candidate.own_domain; });
  const auto own_count = static_cast<size_t>(first_other - candidates.begin());
  const size_t other_count = candidates.size() - own_count;
  // If a whole failure domain is lost, a caller whose list contains no other
  // domain is cut off for the lifetime of the list. So half of the list is
  // reserved for other domains, as far as they have enough routers.
  const size_t half = m_limits.max_addresses / 2;
  const size_t other_slots =
      std::min(other_count, m_limits.max_addresses - half);
  const size_t own_slots =
      std::min(own_count, m_limits.max_addresses - other_slots);

  v1::AddressList list;
  list.set_lifetime_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.lifetime)
          .count()));
  size_t place = 0;
  for (const Candidate& candidate : candidates) {
    const bool listed =
        place < own_slots ||
        (place >= own_count &&
         list.addresses_size() < static_cast<int>(m_limits.max_addresses));
    ++place;
    if (!listed) {
      continue;
    }
    v1::RouterAddress& address = *list.add_addresses();
    address.set_address(candidate.member->caller_address);
    address.set_failure_domain(candidate.member->failure_domain.value());
    address.set_key_prefix(m_key_prefix(candidate.member->id));
  }
  return list;
}

}  // namespace coppervalve::membership
