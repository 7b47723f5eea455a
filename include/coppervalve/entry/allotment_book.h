#ifndef COPPERVALVE_ENTRY_ALLOTMENT_BOOK_H_
#define COPPERVALVE_ENTRY_ALLOTMENT_BOOK_H_

#include <cstdint>        // uint8_t, uint32_t, uint64_t
#include <deque>          // deque
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/beat_rate.h"
#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/demand.h"
#include "coppervalve/entry/hold_ahead.h"
#include "coppervalve/entry/ranked_demand.h"

namespace coppervalve::entry {

/// @brief What became of an attempt to set tokens aside.
enum class Reservation : uint8_t {
  kHeld,
  kUnlimited,     ///< the account has no prepaid total
  kShort,         ///< not within this router's ceiling at present
  kLeftToUrgent,  ///< within it, but more urgent requests need it
  /// What may not have been spent yet cannot cover it, whoever holds the rest.
  kExhausted,
};

/// @brief Constants of how far a router's ceiling runs ahead of its spending.
struct BookOptions {
  /// A router goes on serving for about this long without the store.
  core::Duration ahead{9'000'000};
  /// A router that leaves keeps this much: its callers are on their way.
  core::Duration ahead_leaving{1'500'000};
  /// Standard deviations of the demand of that time that are held on top.
  double spread = 1.0;
  /// Share of what can still be spent that all routers together take before
  /// they have seen any demand.
  double first_share = 0.4;
  core::Duration learning{8'000'000};
  /// Share of what can still be spent that all routers hold at most: the rest
  /// stays free for those whose demand grows.
  double most_held = 0.35;
  /// After a loss, what is left of an account is claimed at a rate that would
  /// last for about this long.
  core::Duration spread_rest{2'500'000};
  /// A loss counts when it took more than this part of what is left.
  double loss_counts = 0.25;
  /// Only where what is left would not last for this long at today's demand.
  core::Duration scarce_below{6'000'000};
  /// What a claim holds ahead is not touched before this time has passed since
  /// it was written. So a process that died and whose successor began sooner
  /// can't have spent it. A restart on the same VM takes a second or two, and
  /// beats come more often than that. 0 = nothing is held back.
  core::Duration held_back{2'500'000};
  /// Standard deviations of the demand of that time that are not held back: a
  /// request that doesn't fit has the claim written anew at once.
  double held_back_spread = 1.0;
  /// How the figures above shrink after losses.
  HoldOptions hold;
  /// Claims had to last when the store acknowledged none for this long beyond
  /// their period.
  core::Duration outage_counts{2'000'000};
  /// Guess by what came to this router so far; else by an even part.
  bool own_share = true;
  /// Callers who keep to an address come to routers that stand by, too.
  /// Together those guess at this part; each with a part of an even share,
  /// hundreds of them held as much as those that serve.
  double standbys_share = 0.1;
  /// After a loss the last tokens that a router can spend on an account are
  /// left to the more urgent requests of so long. 0 = first come, first served.
  core::Duration urgent_ahead{9'000'000};
  /// As long as those ask for no more than this part of the account's tokens.
  double urgent_part = 0.25;
  /// Ask for more below this share of the aim, give back above that one.
  double raise_below = 0.97;
  double lower_above = 1.1;
};

/// @brief What a router is in the fleet when it states its claims.
struct ClaimContext {
  uint32_t routers = 1;   ///< that callers are led to
  uint32_t standbys = 0;  ///< live ones that they are not led to
  bool active = true;     ///< this one is among the former
  bool leaving = false;   ///< its callers go to others: claim little ahead
  bool closing = false;   ///< claim only what is in use
  core::Duration period = kQuietBeatPeriod;  ///< between claims
};

/// @brief This router's part of every account's prepaid total.
///
/// A router spends below its ceiling only. A ceiling counts as used from the
/// moment its record is in the log, for all routers and for good, unless the
/// same incarnation lowers it by a later record. So the sum of all ceilings
/// never exceeds the total, however routers die, pause or lose each other,
/// and no clock is part of the argument (model/ceiling.pml).
class AllotmentBook {
 public:
  explicit AllotmentBook(BookOptions options) : m_options(options) {}

  /// @brief Totals of the configuration in force.
  void OnConfiguration(const Configuration& configuration);
  /// @brief This router's own last record of an earlier incarnation: its
  /// ceilings count as used up. Call it once, before the first claim.
  /// @param held_back it provably never touched what it held back
  void OnPredecessor(const v1::RouterBeat& beat, bool held_back = false);
  /// @brief A record of another router, in log order.
  void OnOtherBeat(const core::RouterId& router,
                   const v1::RouterBeat& beat,
                   core::TimePoint now);
  /// @brief This incarnation's own record came back from the log, after every
  /// record before it went through OnOtherBeat().
  void OnOwnBeat(const v1::RouterBeat& beat);

  /// @brief The store acknowledged the claims of this start up to a sequence:
  /// what they state may be spent at once is known to be in the log.
  void OnWritten(uint64_t sequence, core::TimePoint now);

  /// @brief A request was asked for: counts towards the demand, once.
  void OnDemand(const core::AccountId& account,
                core::Tokens tokens,
                core::TimePoint now,
                uint8_t rank = 0);
  /// @brief Sets tokens aside for a request at its most.
  /// @param rank of the request; 0 is the most urgent
  Reservation Reserve(const core::AccountId& account,
                      core::Tokens tokens,
                      core::TimePoint now,
                      uint8_t rank = 0);
  /// @brief Replaces a reservation by what was really used.
  /// @pre the tokens were reserved and `used` is at most `reserved`
  void Settle(const core::AccountId& account,
              core::Tokens reserved,
              core::Tokens used,
              core::TimePoint now);
  /// @brief Takes tokens out of this router's ceiling for another router. They
  /// count as spent here from now on, whatever becomes of them: so they are
  /// covered by this router's claim, also when either of both dies.
  /// @return between `least` and `wanted`, or 0 when it can't spare them
  core::Tokens Give(const core::AccountId& account,
                    core::Tokens least,
                    core::Tokens wanted,
                    core::TimePoint now);
  /// @brief Somebody lacks tokens of the account: the next claim is to cover
  /// them.
  void Want(const core::AccountId& account, core::Tokens tokens);
  /// @brief Tokens that another router gave up for this one.
  void OnGift(const core::AccountId& account, core::Tokens tokens);
  /// @brief Sets given tokens aside. @return false when there are too few
  bool ReserveGiven(const core::AccountId& account, core::Tokens tokens);
  /// @brief What a request did not use is kept for the next one.
  void SettleGiven(const core::AccountId& account,
                   core::Tokens reserved,
                   core::Tokens used);
  /// @return routers that may spare so many, the richest first
  std::vector<core::RouterId> Lenders(const core::AccountId& account,
                                      core::Tokens tokens) const;
  /// @return what this router asks for when it lacks `tokens`: enough for the
  /// requests of a while
  core::Tokens WantedFor(const core::AccountId& account,
                         core::Tokens tokens,
                         core::TimePoint now) const;

  /// @return when tokens that are held back cover a request, should no claim
  /// get through until then; none when they don't, or are not held back
  std::optional<core::TimePoint> CoveredAt(const core::AccountId& account,
                                           core::Tokens tokens,
                                           core::TimePoint now) const;

  /// @brief Writes what this router claims from now on. Lower ceilings hold
  /// at once, higher ones when the record came back. Reserves are stated where
  /// the beat says before when they are not touched.
  void WriteClaims(v1::RouterBeat& beat,
                   const ClaimContext& context,
                   core::TimePoint now);

  /// @return whether another router or a later claim may yet cover `tokens`
  bool MayBeCovered(const core::AccountId& account, core::Tokens tokens) const;

  /// @brief Figures of one account, for logs and metrics.
  struct Figures {
    std::optional<core::Tokens> total;
    core::Tokens ceiling{};
    core::Tokens spent{};
    core::Tokens reserved{};
    core::Tokens others{};  ///< claimed by others and by earlier incarnations
    core::Tokens lost{};    ///< of those, never spent as far as is known
    core::Tokens free{};    ///< claimed by nobody
    bool paced = false;     ///< claimed slowly, after a loss
  };
  Figures FiguresOf(const core::AccountId& account) const;

  /// @return what all routers together told of the fleet's past
  LivedThrough Past() const;
  /// @return the part of what a fleet without a past would hold ahead
  double HoldFactor() const { return m_hold; }

 private:
  struct OtherClaim {
    core::Tokens claimed{};
    core::Tokens retired{};  ///< ceilings of earlier incarnations
    core::Tokens unspent{};  ///< of the present incarnation
    uint64_t epoch = 0;
    core::Tokens lost{};           ///< with earlier incarnations
    core::Tokens ceiling_spent{};  ///< by the present incarnation
    core::Tokens committed{};      ///< that, and by requests in progress
  };
  /// A claim that was written and has not been read back yet.
  struct Pending {
    uint64_t sequence = 0;
    core::Tokens claim{};
  };
  /// What a claim lets this router spend before a time.
  struct Early {
    uint64_t sequence = 0;
    core::Tokens limit{};
    core::TimePoint not_before;
  };
  struct Entry {
    std::optional<core::Tokens> total;
    std::deque<Pending> pending;  ///< in the order of writing
    /// Of the newest claim that is known to be written and of all after it.
    std::deque<Early> early;
    core::Tokens retired{};
    core::Tokens retired_spent{};
    core::Tokens just_lost{};  ///< with the start before this one
    core::Tokens ceiling{};    ///< may be spent up to here
    core::Tokens asked{};      ///< stated in the newest record
    core::Tokens spent{};
    core::Tokens reserved{};
    core::Tokens given{};  ///< by other routers, not under this ceiling
    core::Tokens others_claimed{};
    core::Tokens others_retired{};
    core::Tokens others_unspent{};
    core::Tokens others_lost{};
    core::Tokens others_committed{};  ///< by present incarnations
    core::Tokens largest{};           ///< request seen
    core::Tokens wanted{};   ///< by requests that wait for a higher ceiling
    core::Tokens paced{};    ///< may be claimed more by now, after a loss
    bool must_last = false;  ///< little is left after a loss
    bool stated = false;     ///< has been in a record
    std::unordered_map<core::RouterId, OtherClaim> others;
    Demand own_demand;    ///< asked for here, served or not
    RankedDemand ranked;  ///< the same, by rank
    Demand fleet_demand;  ///< spent by all routers
  };
  static core::Tokens InUse(const Entry& entry);
  static core::Tokens Free(const Entry& entry);
  static core::Tokens LeastPending(const Entry& entry);
  static core::Tokens Limit(const Entry& entry, core::TimePoint now);
  core::Tokens NextEarly(const Entry& entry,
                         core::Tokens next,
                         core::TimePoint now) const;
  void StateReserve(Entry& entry,
                    core::Tokens next,
                    const v1::RouterBeat& beat,
                    v1::AccountClaim& claim,
                    core::TimePoint now) const;
  static core::Tokens Unavailable(const Entry& entry);
  bool ClaimsGetThrough(core::TimePoint now) const;
  core::Tokens OwnRest(const Entry& entry, core::TimePoint now) const;
  bool LeavesEnough(const Entry& entry,
                    core::Tokens tokens,
                    uint8_t rank,
                    core::TimePoint now) const;
  static core::Tokens Spendable(const Entry& entry);
  double GuessedShare() const;
  double OwnShare(const Entry& entry) const;
  double ShareOverAllStarts(const Entry& entry) const;
  double ShareOf(const Entry& entry,
                 core::Tokens own_use,
                 core::Tokens others_use) const;
  bool Learning(core::TimePoint now) const;
  double ExpectedIn(const Entry& entry,
                    double seconds,
                    core::TimePoint now) const;
  core::Tokens Aim(const Entry& entry, core::TimePoint now) const;
  static core::Tokens Lost(const Entry& entry);
  bool MustLast(const Entry& entry, core::TimePoint now) const;
  void Pace(Entry& entry, core::Duration passed) const;
  bool StandsByWithoutCallers(const Entry& entry) const;
  core::Tokens NextCeiling(const Entry& entry, core::TimePoint now) const;
  void CountLoss();
  double LeastHold() const;
  void RecallPast(v1::RouterBeat& beat);

  BookOptions m_options;
  ClaimContext m_context;
  std::unordered_map<core::AccountId, Entry> m_entries;
  std::optional<core::TimePoint> m_first_demand;
  std::optional<core::TimePoint> m_last_claims;
  std::optional<core::TimePoint> m_last_written;
  OwnPast m_past;
  std::unordered_map<core::RouterId, LivedThrough> m_others_past;
  bool m_loss_counted = false;
  double m_hold = 1;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ALLOTMENT_BOOK_H_
