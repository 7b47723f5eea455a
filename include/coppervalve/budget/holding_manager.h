#ifndef COPPERVALVE_BUDGET_HOLDING_MANAGER_H_
#define COPPERVALVE_BUDGET_HOLDING_MANAGER_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint8_t, uint32_t, uint64_t
#include <deque>          // deque
#include <functional>     // function
#include <map>            // multimap
#include <optional>       // optional
#include <set>            // set
#include <unordered_map>  // unordered_map
#include <utility>        // move
#include <variant>        // variant
#include <vector>         // vector

#include "coppervalve/budget/demand.h"
#include "coppervalve/budget/holding.h"
#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/budget/peer_spares.h"
#include "coppervalve/budget/sizing.h"
#include "coppervalve/budget/spend_reporter.h"
#include "coppervalve/budget/transfers.h"
#include "coppervalve/budget/witness_set.h"
#include "coppervalve/config.pb.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/operator.pb.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::budget {

using ReservationId = core::NumberId<struct ReservationTag>;

/// @brief Tokens reserved for one attempt. Must be settled or cancelled exactly
/// once.
struct Reservation {
  ReservationId id;
  core::Tokens bound;
};

/// @brief What a waiting request needs before it can be reserved.
enum class WaitReason : uint8_t {
  kCeiling,     ///< a higher ceiling acknowledged by the witness
  kGrant,       ///< the ledger's answer to an allotment request
  kSettlement,  ///< local requests in progress may settle for less
  kTransfer,    ///< tokens transferred from a peer
};

/// @brief The tokens are not available yet. The caller retries once
/// TakeWokenBudgets() names the budget and refuses the request when its queue
/// time ends.
struct Wait {
  WaitReason reason;
};

using ReserveResult = std::variant<Reservation, Wait, core::Error>;

/// @brief Result of settling a reservation.
struct Settlement {
  core::Tokens charged;
  /// Spent at the upstream beyond the tokens held. Raises an alarm, because the
  /// upstream exceeded the bound of its request.
  core::Tokens uncovered;
};

/// @brief Maximum number of records returned by one TakeRecords() call.
inline constexpr size_t kMaxRecordsPerTake = 256;
/// @brief Interval between batched spend reports.
inline constexpr core::Duration kSpendReportPeriod{1'000'000};  // microseconds
/// @brief A budget is idle after this time without requests.
inline constexpr core::Duration kIdleTimeout{5'000'000};  // microseconds
/// @brief Minimum time from a denial to the next allotment request, unless the
/// balance changes, and from a grant to the next one, unless requests wait.
inline constexpr core::Duration kGrantRequestInterval{500'000};  // microseconds
/// @brief Waiting requests are retried at least this often.
inline constexpr core::Duration kRetryInterval{500'000};  // microseconds
/// @brief Minimum interval between transfer requests for one budget.
inline constexpr core::Duration kTransferRequestInterval{
    250'000};  // microseconds
/// @brief Minimum interval between returns of tokens of one budget.
inline constexpr core::Duration kReturnInterval{1'000'000};  // microseconds
/// @brief How long a retired incarnation waits for the ledger to apply its
/// transfers before it sends a final report without them.
inline constexpr core::Duration kFinalReportDelay{5'000'000};  // microseconds
/// @brief Standby holdings of budgets that other routers use are requested only
/// while this router tracks fewer budgets than this.
inline constexpr size_t kMaxStandbyBudgets = 1024;
/// @brief Maximum numbers of budgets examined for, and advertised in, one
/// heartbeat.
inline constexpr size_t kMaxSparesExamined = 1024;
inline constexpr size_t kMaxSparesAdvertised = 128;

/// @brief Sums over all budgets tracked by this incarnation.
struct HoldingTotals {
  core::Tokens received;
  core::Tokens spent;
  core::Tokens reserved;
  core::Tokens transferred_out;
  uint64_t budgets = 0;
  uint64_t open_reservations = 0;
};

/// @brief Looks up a budget's current balance in the ledger. Returns nullopt
/// for a budget that is not in the ledger.
using BalanceLookup =
    std::function<std::optional<BalanceView>(const core::BudgetId&)>;

/// @brief Manages the tokens that one router incarnation holds of each budget.
///
/// Invariants, per budget: spent + reserved + transferred out <= received, and
/// <= the ceiling acknowledged by each witness that may be in force.
class HoldingManager {
 public:
  HoldingManager(PeerRef self, SizingPolicy policy, BalanceLookup balance);

  // ---- Requests ------------------------------------------------------------

  /// @brief Reserves the upper bound of one attempt.
  /// @return Error kBudgetExhausted when the fleet has too few tokens left,
  /// kBudgetBusy when the tokens left can't be reached now, kRetiredInLog, or
  /// kUnknownBudget
  /// @complexity constant on average
  ReserveResult Reserve(core::TimePoint now,
                        const core::BudgetId& budget,
                        core::Tokens upper_bound,
                        v1::AdmissionClass admission_class);

  /// @brief Settles an attempt that ran, or may have run.
  /// @param charge whether the account is billed, and under which key
  /// @return nullopt when the reservation is no longer open
  std::optional<Settlement> Settle(core::TimePoint now,
                                   const Reservation& reservation,
                                   core::Tokens spent,
                                   const Charge& charge);

  /// @brief Releases the reservation of an attempt that did not run.
  /// @return whether the reservation was open
  bool Cancel(core::TimePoint now, const Reservation& reservation);

  /// @brief Returns the budgets whose waiting requests should be retried. They
  /// must be retried before the next TakeRecords(), because until then the
  /// amounts that they wait for are not known.
  std::vector<core::BudgetId> TakeWokenBudgets();

  // ---- Commands ------------------------------------------------------------

  /// @brief Starts a change to the given witness, or to none for nullopt.
  /// Choosing the same witness again has no effect.
  void ChooseWitness(core::TimePoint now, const std::optional<PeerRef>& peer);
  /// @brief From now on returns spare tokens at once. Reserve() still serves
  /// requests accepted before; the caller accepts no new ones.
  void StartDrain(core::TimePoint now);

  // ---- Events from the ledger -----------------------------------------------

  /// @brief The ledger granted this incarnation's allotment request in its
  /// entry `sequence`. A grant delivered twice is counted once.
  void OnGranted(core::TimePoint now,
                 const core::BudgetId& budget,
                 core::Tokens tokens,
                 core::Sequence sequence);
  void OnDenied(core::TimePoint now,
                const core::BudgetId& budget,
                core::Sequence sequence);
  /// @brief The ledger applied this incarnation's report of a cumulative spend.
  /// Must be called for each SpendReported of its own entries, in log order.
  void OnSpendApplied(const core::BudgetId& budget, core::Tokens spent);
  /// @brief The ledger applied a transfer from or to this incarnation.
  void OnTransferApplied(core::TimePoint now,
                         const v1::TransferRecorded& transfer);
  /// @brief The ledger applied a WitnessChosen record of this incarnation;
  /// nullopt means no witness.
  void OnWitnessInForce(const std::optional<PeerRef>& peer);
  /// @brief The ledger refused a WitnessChosen record of this incarnation. The
  /// caller chooses another witness.
  void OnWitnessRefused(const PeerRef& peer);
  /// @brief The log retired this incarnation.
  void OnRetired(core::TimePoint now);
  /// @brief The balance returned by BalanceLookup changed. May request a
  /// standby holding if other routers use the budget.
  void OnBalanceChanged(core::TimePoint now, const core::BudgetId& budget);
  /// @brief Sets the number of routers that share the budgets, including this
  /// one.
  void OnActiveRouters(uint32_t active_routers);
  /// @brief Sets whether the log is unavailable, that is, whether appends or
  /// reads have been failing for too long.
  void OnLogState(bool unavailable);

  // ---- Messages from peers --------------------------------------------------

  void OnCeilingAck(core::TimePoint now,
                    const PeerRef& from,
                    const v1::CeilingAck& ack);
  /// @brief May queue a transfer, see TakeTransferSends().
  void OnTransferAsk(core::TimePoint now,
                     const PeerRef& from,
                     const v1::TransferAsk& ask);
  /// @return the acknowledgement to send back; nullopt once retired
  std::optional<v1::TransferAck> OnTransferSend(core::TimePoint now,
                                                const PeerRef& from,
                                                const v1::TransferSend& send);
  void OnTransferAck(const PeerRef& from, const v1::TransferAck& ack);
  /// @brief Records the spare tokens that a heartbeat of a peer advertises.
  void OnPeerSpares(core::TimePoint now,
                    const PeerRef& peer,
                    const std::vector<v1::Spare>& spares);

  // ---- Time ---------------------------------------------------------------

  /// @brief Runs due reviews of holdings and retries of waiting requests.
  /// @complexity linear in the number of due reviews; idle budgets have none
  void OnTick(core::TimePoint now);

  // ---- Outgoing records and messages ----------------------------------------

  /// @brief Returns records for the log, each of them once; none while the log
  /// is unavailable. Call it when the log client can accept more. Returns at
  /// most kMaxRecordsPerTake, except for the final records of a retired
  /// incarnation.
  std::vector<v1::Record> TakeRecords(core::TimePoint now);
  /// @return ceiling raises for the current witness and its successor
  std::vector<CeilingRaiseTo> TakeCeilingRaises(core::TimePoint now);
  std::vector<TransferAskTo> TakeTransferAsks(core::TimePoint now);
  std::vector<TransferSendTo> TakeTransferSends(core::TimePoint now);
  /// @return spare tokens to advertise in heartbeats. Each call examines a
  /// bounded number of budgets and continues where the last one stopped.
  std::vector<v1::Spare> TakeSpares(core::TimePoint now);

  // ---- Queries --------------------------------------------------------------

  const std::optional<PeerRef>& WitnessInForce() const;
  /// @return whether the newest witness refuses raises, so that another one
  /// must be chosen
  bool WitnessRefuses() const;
  bool Retired() const { return m_retired; }
  /// @return whether a retired incarnation has sent its final report
  bool Finalized() const { return m_finalized; }
  uint64_t OpenReservations() const { return m_open_reservations.size(); }
  /// @return nullopt for a budget that is not tracked
  std::optional<v1::BudgetStatus> StatusOf(const core::BudgetId& budget) const;
  std::vector<v1::BudgetStatus> Statuses() const;
  /// @complexity constant
  const HoldingTotals& Totals() const { return m_totals; }
  /// @brief Checks the invariants of each tracked budget.
  /// @return kConservationBroken with the first budget that violates one
  core::Status CheckInvariants() const;

 private:
  struct Account {
    explicit Account(core::BudgetId budget) : id(std::move(budget)) {}

    core::BudgetId id;
    Holding holding;
    Demand demand;
    SpendReporter spend_reporter;
    core::Tokens unmet;
    core::Tokens smallest_unmet;
    bool gate_waits = false;
    std::optional<bool> grant_pending;    ///< if set, whether of class GATE
    bool denied = false;                  ///< the last request was denied
    core::Sequence last_answer_sequence;  ///< entry of the last grant or denial
    core::TimePoint next_grant_request_at{};
    core::TimePoint next_transfer_ask_at{};
    core::TimePoint next_return_at{};
    bool sizing_queued = false;
    bool spend_queued = false;
    bool review_queued = false;
  };
  struct OpenReservation {
    Account* account = nullptr;
    core::Tokens bound;
    core::Tokens gate_part;  ///< taken from gate_only
  };

  using WaitOrError = std::variant<Wait, core::Error>;

  Account& FindOrCreate(const core::BudgetId& budget);
  Account* Find(const core::BudgetId& budget);
  SizingView MakeSizingView(core::TimePoint now, const Account& account) const;
  core::Tokens Headroom(const Account& account) const;
  static core::Tokens SpareFor(const Account& account, bool gate);

  Reservation Commit(Account& account, core::Tokens bound, bool gate);
  void AddUnmet(Account& account, core::Tokens bound, bool gate);
  WaitOrError ExplainShortage(core::TimePoint now,
                              const Account& account,
                              core::Tokens bound,
                              bool gate) const;
  std::optional<OpenReservation> RemoveOpenReservation(
      const Reservation& reservation);
  void AfterRelease(core::TimePoint now, Account& account);

  void RaiseCeilingIfLow(core::TimePoint now, Account& account);
  void WakeWaiters(Account& account);
  void WakeAllWaiters();
  void QueueSizing(Account& account);
  void QueueSpend(Account& account);
  void QueueReview(core::TimePoint at, Account& account);
  void ReturnSurplus(core::TimePoint now, Account& account);
  void Return(Account& account, core::Tokens tokens);
  static bool HoldsFragment(const Account& account);
  void ReturnFragment(core::TimePoint now, Account& account);
  void ReturnAll(Account& account);

  void OnReceived(core::TimePoint now, Account& account);
  bool WantsStandby(const core::BudgetId& budget) const;
  void Credit(core::TimePoint now,
              const v1::TransferRecorded& transfer,
              bool applied);
  core::Tokens Transferable(core::TimePoint now, const Account& account) const;
  core::Tokens TransferableTo(core::TimePoint now,
                              const Account& account,
                              const PeerRef& peer) const;

  bool CandidateCovers(const WitnessCeilings& candidate);
  void TakeWitnessRecord(std::vector<v1::Record>& out);
  void TakeAllotmentRequests(core::TimePoint now, std::vector<v1::Record>& out);
  void TakeSpendReports(core::TimePoint now, std::vector<v1::Record>& out);
  std::vector<v1::Record> TakeFinalRecords(core::TimePoint now);
  v1::BudgetStatus ToStatus(const Account& account) const;

  PeerRef m_self;
  SizingPolicy m_policy;
  BalanceLookup m_balance;
  uint32_t m_active_routers = 1;
  bool m_log_unavailable = false;
  bool m_retired = false;
  bool m_draining = false;
  bool m_finalized = false;
  core::TimePoint m_retired_at{};

  /// In creation order; addresses are stable.
  std::deque<Account> m_accounts;
  std::unordered_map<core::BudgetId, Account*> m_by_id;
  std::unordered_map<ReservationId, OpenReservation> m_open_reservations;
  uint64_t m_last_reservation = 0;
  HoldingTotals m_totals;

  WitnessSet m_witnesses;
  Transfers m_transfers;
  PeerSpares m_peer_spares;

  std::deque<v1::Record> m_pending_records;  ///< in order: returns, transfers
  std::deque<Account*> m_sizing_queue;       ///< may need another allotment
  std::deque<Account*> m_spend_queue;        ///< have settlements to report
  core::TimePoint m_spend_report_due{};
  std::multimap<core::TimePoint, Account*> m_reviews;
  std::set<core::BudgetId> m_waiting;  ///< budgets with waiting requests
  std::vector<core::BudgetId> m_woken;
  core::TimePoint m_retry_due{};
  size_t m_spares_cursor = 0;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_HOLDING_MANAGER_H_
