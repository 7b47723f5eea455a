#ifndef COPPERVALVE_ROUTING_RATE_LIMITER_H_
#define COPPERVALVE_ROUTING_RATE_LIMITER_H_

#include <cstdint>        // uint32_t
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/refusal.h"

namespace coppervalve::routing {

/// @brief A fleet-wide limit of one account.
struct AccountLimit {
  core::AccountId account;
  uint32_t requests_per_second = 0;  ///< 0 = no limit
  uint32_t burst = 0;                ///< 0 = one second's worth
};

/// @brief Demand of one account as a router sees it: requests asked for a
/// second, admitted or not.
struct AccountDemand {
  core::AccountId account;
  double requests_per_second = 0;
};

/// @brief This router's share of fleet-wide request limits.
///
/// Each router runs a token bucket with a share of the limit: a small equal
/// floor, and the rest by its share of the demand that routers report to each
/// other; equal shares while no demand is known.
class RateLimiter {
 public:
  /// @brief Installs the limits of a configuration; levels are kept.
  void SetLimits(const std::vector<AccountLimit>& limits);
  /// @brief Live routers, this one included; at least 1.
  void SetRouters(uint32_t routers);
  /// @brief What a peer reported last; replaces its earlier report.
  void SetPeerDemand(const core::RouterId& peer,
                     const std::vector<AccountDemand>& demand);
  void ForgetPeer(const core::RouterId& peer);

  /// @brief Takes a token. @return kRateLimited with the time of the next one
  /// when there is none @complexity O(peers)
  std::optional<Refusal> Admit(const core::AccountId& account,
                               core::TimePoint now);
  /// @brief This router's demand, to be sent to all peers; shares rest on what
  /// was reported last. @complexity O(accounts)
  std::vector<AccountDemand> ReportDemand(core::TimePoint now);

 private:
  struct Bucket {
    AccountLimit limit;
    bool started = false;
    double tokens = 0;
    double demand = 0;
    double reported_demand = 0;
    core::TimePoint last{};
  };

  static double DemandAt(const Bucket& bucket, core::TimePoint now);
  double ShareOf(const Bucket& bucket) const;
  void Advance(Bucket& bucket, core::TimePoint now) const;

  uint32_t m_routers = 1;
  std::unordered_map<core::AccountId, Bucket> m_buckets;
  std::unordered_map<core::RouterId,
                     std::unordered_map<core::AccountId, double>>
      m_peer_demand;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_RATE_LIMITER_H_
