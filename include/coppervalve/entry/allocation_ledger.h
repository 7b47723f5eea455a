#ifndef COPPERVALVE_ENTRY_ALLOCATION_LEDGER_H_
#define COPPERVALVE_ENTRY_ALLOCATION_LEDGER_H_

#include <cstdint>        // uint8_t, uint32_t, uint64_t
#include <deque>          // deque
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/demand.h"
#include "coppervalve/entry/heartbeat_rate.h"
#include "coppervalve/entry/hold_factor.h"
#include "coppervalve/entry/ranked_demand.h"

namespace coppervalve::entry {

/// @brief Outcome of an attempt to reserve tokens.
enum class ReserveResult : uint8_t {
  kReserved,
  kUnlimited,      ///< the account has no prepaid total
  kAboveCeiling,   ///< exceeds this router's current ceiling
  kKeptForUrgent,  ///< fits, but is kept for more urgent requests
  /// The tokens that may still be unspent, on any router, are too few.
  kExhausted,
};

/// @brief Limits how far a router's ceiling exceeds its use (the headroom).
struct AllocationOptions {
  /// Headroom in time: how long a router can serve without the store.
  core::Duration ahead{9'000'000};
  /// Headroom of a leaving router: its callers are moving to other routers.
  core::Duration ahead_when_leaving{1'500'000};
  /// Standard deviations of the demand within `ahead` that are added to its
  /// mean.
  double spread = 1.0;
  /// Share of the spendable tokens that all routers together claim before they
  /// have seen any demand.
  double first_share = 0.4;
  core::Duration learning_period{8'000'000};
  /// Maximum share of the spendable tokens that all routers together hold
  /// ahead. The rest stays free for routers whose demand grows.
  double most_held = 0.35;
  /// After a loss, the remaining tokens of an account are claimed at a rate
  /// that would use them up in about this time.
  core::Duration spread_rest{2'500'000};
  /// Claims are rationed only if the lost tokens exceed this share of the
  /// spendable ones.
  double loss_counts = 0.25;
  /// Claims are rationed only if the spendable tokens would last less than this
  /// at the current demand.
  core::Duration scarce_below{6'000'000};
  /// The reserve of a claim is not spent before this time has passed since the
  /// claim was written, so a process whose successor started sooner cannot have
  /// spent it. A restart on the same VM takes one to two seconds, and
  /// heartbeats are more frequent than this value. 0 disables reserves.
  core::Duration held_back{2'500'000};
  /// Standard deviations of the demand within `held_back` that are left out of
  /// the reserve. A request that does not fit triggers a new claim at once.
  double held_back_spread = 1.0;
  /// Reduces the headroom after losses.
  HoldOptions hold;
  /// An outage is recorded if the store acknowledged no claim for this long
  /// beyond the claim period.
  core::Duration min_outage{2'000'000};
  /// Estimate this router's share from the requests it received so far;
  /// otherwise assume equal shares.
  bool own_share = true;
  /// Share of the demand assumed for all standbys together, because callers
  /// that keep one address also reach standbys. With part of an equal share
  /// each, hundreds of standbys held as many tokens as the active routers.
  double standbys_share = 0.1;
  /// After a loss, a router keeps the last tokens of an account for the demand
  /// of more urgent requests within this time. 0 = first come, first served.
  core::Duration urgent_ahead{9'000'000};
  /// Tokens are kept only while the more urgent requests are at most this share
  /// of the account's demand.
  double urgent_part = 0.25;
  /// Hysteresis relative to the target headroom: claim more below the first
  /// ratio, return tokens above the second.
  double raise_below = 0.97;
  double lower_above = 1.1;
};

/// @brief State of the fleet and of this router when it writes claims.
struct ClaimContext {
  uint32_t routers = 1;   ///< active routers
  uint32_t standbys = 0;  ///< live routers that are not active
  bool active = true;     ///< this router is active
  bool leaving = false;   ///< its callers are moving away: keep little headroom
  bool closing = false;   ///< claim only tokens in use
  core::Duration period = kDefaultHeartbeatPeriod;  ///< time between claims
};

/// @brief This router's allocation of every account's prepaid total.
///
/// A router spends only below its ceiling. A ceiling counts as used, for all
/// routers and permanently, as soon as its record is in the log, unless the
/// same incarnation lowers it in a later record. So the sum of all ceilings
/// never exceeds the total, even if routers crash, pause or are partitioned,
/// and no clock is needed for this guarantee (verified in model/ceiling.pml).
class AllocationLedger {
 public:
  explicit AllocationLedger(AllocationOptions options) : m_options(options) {}

  /// @brief Takes over the totals of the configuration in force.
  void OnConfiguration(const Configuration& configuration);
  /// @brief Takes over the last record of this router's previous incarnation:
  /// its ceilings count as used. Call it once, before the first claim.
  /// @param reserve_untouched whether the previous incarnation provably did not
  /// spend its reserve
  void OnPredecessor(const v1::RouterBeat& beat,
                     bool reserve_untouched = false);
  /// @brief Processes a record of another router, in log order.
  void OnPeerHeartbeat(const core::RouterId& router,
                       const v1::RouterBeat& beat,
                       core::TimePoint now);
  /// @brief Processes a record of this incarnation that was read back from the
  /// log, after every earlier record was passed to OnPeerHeartbeat().
  void OnOwnHeartbeat(const v1::RouterBeat& beat);

  /// @brief The store acknowledged the claims of this incarnation up to a
  /// sequence number, so they are known to be in the log.
  void OnAcknowledged(uint64_t sequence, core::TimePoint now);

  /// @brief Counts a request towards the demand. Call it once for each request.
  void OnDemand(const core::AccountId& account,
                core::Tokens tokens,
                core::TimePoint now,
                uint8_t rank = 0);
  /// @brief Reserves the maximum that a request may use.
  /// @param rank of the request; 0 is the most urgent
  ReserveResult Reserve(const core::AccountId& account,
                        core::Tokens tokens,
                        core::TimePoint now,
                        uint8_t rank = 0);
  /// @brief Replaces a reservation by the tokens that were used.
  /// @pre the tokens were reserved and `used` is at most `reserved`
  void Settle(const core::AccountId& account,
              core::Tokens reserved,
              core::Tokens used,
              core::TimePoint now);
  /// @brief Transfers tokens from this router's ceiling to another router. They
  /// count as spent here from now on, whether or not they arrive: this router's
  /// claim covers them even if either router crashes.
  /// @return between `least` and `wanted`, or 0 if this router needs them
  /// itself
  core::Tokens TransferOut(const core::AccountId& account,
                           core::Tokens least,
                           core::Tokens wanted,
                           core::TimePoint now);
  /// @brief Makes the next claim cover this many tokens more.
  void RequestTokens(const core::AccountId& account, core::Tokens tokens);
  /// @brief Adds tokens that another router transferred to this one.
  void OnTransfer(const core::AccountId& account, core::Tokens tokens);
  /// @brief Reserves transferred tokens.
  /// @return false if there are too few
  bool ReserveTransferred(const core::AccountId& account, core::Tokens tokens);
  /// @brief Keeps the unused part of a reservation for later requests.
  void SettleTransferred(const core::AccountId& account,
                         core::Tokens reserved,
                         core::Tokens used);
  /// @return routers that may be able to transfer this many tokens, those with
  /// the most unspent tokens first
  std::vector<core::RouterId> Donors(const core::AccountId& account,
                                     core::Tokens tokens) const;
  /// @return the amount to request from other routers if `tokens` are missing:
  /// also enough for the following requests
  core::Tokens TransferRequestFor(const core::AccountId& account,
                                  core::Tokens tokens,
                                  core::TimePoint now) const;

  /// @return when the reserve becomes spendable and covers a request, if no new
  /// claim is acknowledged before; nullopt if the ceiling does not cover it
  std::optional<core::TimePoint> SpendableAt(const core::AccountId& account,
                                             core::Tokens tokens,
                                             core::TimePoint now) const;

  /// @brief Writes this router's claims. A lower ceiling applies at once, a
  /// higher one when the record was read back. Reserves are written if the
  /// heartbeat's `not_before` is set.
  void WriteClaims(v1::RouterBeat& beat,
                   const ClaimContext& context,
                   core::TimePoint now);

  /// @return whether a later claim may cover `tokens`
  bool MayBecomeSpendable(const core::AccountId& account,
                          core::Tokens tokens) const;

  /// @brief State of one account, for logs and metrics.
  struct Figures {
    std::optional<core::Tokens> total;
    core::Tokens ceiling{};
    core::Tokens spent{};
    core::Tokens reserved{};
    core::Tokens others{};  ///< claimed by peers and previous incarnations
    core::Tokens lost{};    ///< of `others`, not known to be spent
    core::Tokens free{};    ///< not claimed by any router
    bool rationed = false;  ///< claims are rationed after a loss
  };
  Figures FiguresOf(const core::AccountId& account) const;

  /// @return losses and outages of the whole fleet, summed over all routers
  LossHistory History() const;
  /// @return the factor applied to the headroom, 1 for a fleet without history
  double HoldFactor() const { return m_hold_factor; }

 private:
  struct PeerClaim {
    core::Tokens claimed{};
    core::Tokens retired{};  ///< ceilings of previous incarnations
    core::Tokens unspent{};  ///< of the current incarnation
    uint64_t epoch = 0;
    core::Tokens lost{};           ///< by previous incarnations
    core::Tokens ceiling_spent{};  ///< by the current incarnation
    core::Tokens committed{};      ///< spent, and reserved by running requests
  };
  /// A claim that was written and not read back yet.
  struct PendingClaim {
    uint64_t sequence = 0;
    core::Tokens claim{};
  };
  /// The limit that a claim sets on spending before `not_before`.
  struct SpendLimit {
    uint64_t sequence = 0;
    core::Tokens limit{};
    core::TimePoint not_before;
  };
  struct AccountState {
    std::optional<core::Tokens> total;
    std::deque<PendingClaim> pending;  ///< in the order of writing
    /// Limits of the newest acknowledged claim and of all later ones.
    std::deque<SpendLimit> spend_limits;
    core::Tokens retired{};
    core::Tokens retired_spent{};
    core::Tokens lost_at_restart{};  ///< by the previous incarnation
    core::Tokens ceiling{};  ///< upper limit of spent and reserved tokens
    core::Tokens written_ceiling{};  ///< of the newest written record
    core::Tokens spent{};
    core::Tokens reserved{};
    core::Tokens transferred_in{};  ///< by peers, not part of the ceiling
    core::Tokens others_claimed{};
    core::Tokens others_retired{};
    core::Tokens others_unspent{};
    core::Tokens others_lost{};
    core::Tokens others_committed{};  ///< by current incarnations
    core::Tokens largest{};           ///< largest request seen
    core::Tokens requested{};  ///< missing for requests that wait for a claim
    core::Tokens ration{};     ///< increase of the ceiling allowed so far
    bool rationed = false;     ///< few tokens are left after a loss
    bool written = false;      ///< has been written in a record
    std::unordered_map<core::RouterId, PeerClaim> others;
    Demand own_demand;    ///< of requests to this router, served or not
    RankedDemand ranked;  ///< the same demand by rank
    Demand fleet_demand;  ///< tokens spent by all routers
  };
  static core::Tokens InUse(const AccountState& state);
  static core::Tokens Free(const AccountState& state);
  static core::Tokens LowestPendingClaim(const AccountState& state);
  static core::Tokens CurrentSpendLimit(const AccountState& state,
                                        core::TimePoint now);
  core::Tokens NextSpendLimit(const AccountState& state,
                              core::Tokens next,
                              core::TimePoint now) const;
  void WriteReserve(AccountState& state,
                    core::Tokens next,
                    const v1::RouterBeat& beat,
                    v1::AccountClaim& claim,
                    core::TimePoint now) const;
  static core::Tokens Unavailable(const AccountState& state);
  bool ClaimsAreAcknowledged(core::TimePoint now) const;
  core::Tokens OwnRemainder(const AccountState& state,
                            core::TimePoint now) const;
  bool LeavesEnoughForUrgent(const AccountState& state,
                             core::Tokens tokens,
                             uint8_t rank,
                             core::TimePoint now) const;
  static core::Tokens Spendable(const AccountState& state);
  double PriorShare() const;
  double OwnShare(const AccountState& state) const;
  double OwnShareOverRestarts(const AccountState& state) const;
  double EstimateShare(const AccountState& state,
                       core::Tokens own_use,
                       core::Tokens others_use) const;
  bool IsLearning(core::TimePoint now) const;
  double ExpectedDemand(const AccountState& state,
                        double seconds,
                        core::TimePoint now) const;
  core::Tokens TargetHeadroom(const AccountState& state,
                              core::TimePoint now) const;
  static core::Tokens Lost(const AccountState& state);
  bool NeedsRationing(const AccountState& state, core::TimePoint now) const;
  void AccrueRation(AccountState& state, core::Duration passed) const;
  bool IsIdleStandby(const AccountState& state) const;
  core::Tokens NextCeiling(const AccountState& state,
                           core::TimePoint now) const;
  void RecordLoss();
  double MinHoldFactor() const;
  void UpdateHistory(v1::RouterBeat& beat);

  AllocationOptions m_options;
  ClaimContext m_context;
  std::unordered_map<core::AccountId, AccountState> m_accounts;
  std::optional<core::TimePoint> m_first_demand;
  std::optional<core::TimePoint> m_last_claims;
  std::optional<core::TimePoint> m_last_acknowledged;
  RouterHistory m_history;
  std::unordered_map<core::RouterId, LossHistory> m_peer_histories;
  bool m_loss_recorded = false;
  double m_hold_factor = 1;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ALLOCATION_LEDGER_H_
