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

/// @brief Fleet-wide request limit of one account.
struct AccountLimit {
  core::AccountId account;
  uint32_t requests_per_second = 0;  ///< 0 = no limit
  uint32_t burst = 0;                ///< 0 = the requests of one second
};

/// @brief Demand of one account at one router: requests received per second,
/// admitted or not.
struct AccountDemand {
  core::AccountId account;
  double requests_per_second = 0;
};

/// @brief Enforces this router's share of fleet-wide request limits.
///
/// Each router has a token bucket with a share of the limit. A small part of
/// the limit is divided equally; the rest is divided in proportion to the
/// demand that the routers report to each other. While no demand is known, all
/// shares are equal.
class RateLimiter {
 public:
  /// @brief Sets the limits of a configuration. Accounts that stay keep their
  /// tokens.
  void SetLimits(const std::vector<AccountLimit>& limits);
  /// @brief Sets the number of live routers, including this one; at least 1.
  void SetRouters(uint32_t routers);
  /// @brief Sets the demand that a peer reported; replaces its earlier report.
  void SetPeerDemand(const core::RouterId& peer,
                     const std::vector<AccountDemand>& demand);
  void ForgetPeer(const core::RouterId& peer);

  /// @brief Takes a token. @return kRateLimited with the time until the next
  /// token when there is none @complexity O(peers)
  std::optional<Refusal> Admit(const core::AccountId& account,
                               core::TimePoint now);
  /// @brief Returns this router's demand, to be sent to all peers. Shares are
  /// computed from the last reported demand. @complexity O(accounts)
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
