#include "coppervalve/routing/rate_limiter.h"

#include <algorithm>  // max, min
#include <cmath>      // ceil, exp
#include <string>     // to_string

namespace coppervalve::routing {

namespace {

constexpr double kMicrosPerSecond = 1e6;
/// Time constant of the demand average.
constexpr double kDemandWindowUs = 2e6;
/// Part of the limit that is divided equally, independent of demand: a router
/// that receives the first request of an account has no demand to report yet.
constexpr double kEqualShare = 0.25;
/// A bucket that holds less than one request would never admit any.
constexpr double kMinBurst = 1;

}  // namespace

void RateLimiter::SetLimits(const std::vector<AccountLimit>& limits) {
  std::unordered_map<core::AccountId, Bucket> buckets;
  for (const AccountLimit& limit : limits) {
    Bucket bucket;
    const auto known = m_buckets.find(limit.account);
    if (known != m_buckets.end()) {
      bucket = known->second;
    }
    bucket.limit = limit;
    buckets.emplace(limit.account, bucket);
  }
  m_buckets = std::move(buckets);
}

void RateLimiter::SetRouters(uint32_t routers) {
  m_routers = std::max(routers, 1U);
}

void RateLimiter::SetPeerDemand(const core::RouterId& peer,
                                const std::vector<AccountDemand>& demand) {
  std::unordered_map<core::AccountId, double>& known = m_peer_demand[peer];
  known.clear();
  for (const AccountDemand& entry : demand) {
    known[entry.account] = entry.requests_per_second;
  }
}

void RateLimiter::ForgetPeer(const core::RouterId& peer) {
  m_peer_demand.erase(peer);
}

std::optional<Refusal> RateLimiter::Admit(const core::AccountId& account,
                                          core::TimePoint now) {
  const auto found = m_buckets.find(account);
  if (found == m_buckets.end() ||
      found->second.limit.requests_per_second == 0) {
    return std::nullopt;
  }
  Bucket& bucket = found->second;
  Advance(bucket, now);
  bucket.demand += kMicrosPerSecond / kDemandWindowUs;
  if (bucket.tokens >= 1) {
    bucket.tokens -= 1;
    return std::nullopt;
  }
  const double rate = bucket.limit.requests_per_second * ShareOf(bucket);
  const double wait_us =
      std::ceil((1 - bucket.tokens) / rate * kMicrosPerSecond);
  return Refusal{
      {core::ErrorId::kRateLimited, account.value(),
       "limit of " + std::to_string(bucket.limit.requests_per_second) +
           " requests a second"},
      core::Duration(static_cast<int64_t>(wait_us))};
}

std::vector<AccountDemand> RateLimiter::ReportDemand(core::TimePoint now) {
  std::vector<AccountDemand> demands;
  for (auto& [account, bucket] : m_buckets) {
    bucket.reported_demand = DemandAt(bucket, now);
    if (bucket.reported_demand > 0) {
      demands.push_back({account, bucket.reported_demand});
    }
  }
  return demands;
}

double RateLimiter::DemandAt(const Bucket& bucket, core::TimePoint now) {
  const double elapsed = static_cast<double>((now - bucket.last).count());
  return bucket.demand * std::exp(-elapsed / kDemandWindowUs);
}

double RateLimiter::ShareOf(const Bucket& bucket) const {
  // Uses the own demand as last reported, not the current one. Otherwise, when
  // requests start at all routers at once, each would see only its own demand
  // and admit almost the whole limit.
  double total = bucket.reported_demand;
  for (const auto& [peer, demand] : m_peer_demand) {
    const auto found = demand.find(bucket.limit.account);
    if (found != demand.end()) {
      total += found->second;
    }
  }
  const double equal = 1.0 / m_routers;
  if (m_peer_demand.empty() || total <= 0) {
    return equal;
  }
  return kEqualShare * equal +
         (1 - kEqualShare) * bucket.reported_demand / total;
}

void RateLimiter::Advance(Bucket& bucket, core::TimePoint now) const {
  const double share = ShareOf(bucket);
  const AccountLimit& limit = bucket.limit;
  const uint32_t fleet_burst =
      limit.burst == 0 ? limit.requests_per_second : limit.burst;
  const double burst = std::max(kMinBurst, fleet_burst * share);
  if (!bucket.started) {
    bucket.started = true;
    bucket.tokens = burst;
    bucket.last = now;
    return;
  }
  const double elapsed = static_cast<double>((now - bucket.last).count());
  const double earned =
      elapsed / kMicrosPerSecond * limit.requests_per_second * share;
  bucket.tokens = std::min(bucket.tokens + earned, burst);
  bucket.demand = DemandAt(bucket, now);
  bucket.last = now;
}

}  // namespace coppervalve::routing
