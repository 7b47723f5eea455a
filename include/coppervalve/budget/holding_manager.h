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

/// @brief The right to run one attempt. To be settled or cancelled once.
struct Reservation {
  ReservationId id;
  core::Tokens bound;
};

/// @brief What a reservation waits for.
enum class WaitReason : uint8_t {
  kCeiling,     ///< the witness's acknowledgement
  kGrant,       ///< a record of the log
  kSettlement,  ///< requests in progress here may need less than reserved
  kTransfer,    ///< a peer's tokens
};

/// @brief No tokens now, but soon perhaps: try again once TakeWokenBudgets()
/// names the budget, or when the request's queue time ends refuse it.
struct Wait {
  WaitReason reason;
};

using ReserveResult = std::variant<Reservation, Wait, core::Error>;

/// @brief What a settlement came to.
struct Settlement {
  core::Tokens charged;
  /// Spent at the upstream but not covered by what is held: an alarm, as the
  /// upstream went past the bound that the request was given.
  core::Tokens uncovered;
};

/// @brief Most records that one call hands out.
inline constexpr size_t kMaxRecordsPerTake = 256;
/// @brief Settlements are reported in batches, this far apart.
inline constexpr core::Duration kSpendReportInterval{
    1'000'000};  // microseconds
/// @brief A budget without requests for this long is idle.
inline constexpr core::Duration kIdleTimeout{5'000'000};  // microseconds
/// @brief After a denial the log isn't requested again for this long, unless
/// the balance changes; nor after a grant, unless requests wait.
inline constexpr core::Duration kGrantRequestInterval{500'000};  // microseconds
/// @brief Requests that wait try again at least this often.
inline constexpr core::Duration kRetryInterval{500'000};  // microseconds
/// @brief A peer is requested for one budget's tokens at most this often.
inline constexpr core::Duration kTransferAskInterval{250'000};  // microseconds
/// @brief Tokens of one budget go back at most this often.
inline constexpr core::Duration kReturnInterval{1'000'000};  // microseconds
/// @brief A retired incarnation waits this long for its transfers to be applied
/// before it makes its final report without them.
inline constexpr core::Duration kFinalReportDelay{5'000'000};  // microseconds
/// @brief Budgets that other routers use are held on standby while this router
/// knows fewer than so many.
inline constexpr size_t kMaxStandbyBudgets = 1024;
/// @brief Budgets that one heartbeat looks at, and advertises.
inline constexpr size_t kMaxSparesExamined = 1024;
inline constexpr size_t kMaxSparesAdvertised = 128;

/// @brief Sums over all budgets that this incarnation touched.
struct HoldingTotals {
  core::Tokens received;
  core::Tokens spent;
  core::Tokens reserved;
  core::Tokens transferred_out;
  uint64_t budgets = 0;
  uint64_t open_reservations = 0;
};

/// @brief How the book sees the fold: pulled when a decision needs it. Nothing
/// for a budget that the fold doesn't have.
using BalanceLookup =
    std::function<std::optional<BalanceView>(const core::BudgetId&)>;

/// @brief Everything one router incarnation decides about its holdings.
///
/// Invariants, per budget: spent + reserved + transferred out <= received, and
/// <= the ceiling acknowledged by each witness that may be in force.
class HoldingManager {
 public:
  HoldingManager(PeerRef self, SizingPolicy policy, BalanceLookup balance);

  // ---- Requests ------------------------------------------------------------

  /// @brief Reserves the upper bound of one attempt.
  /// @return Error kBudgetExhausted when the fleet has too little left,
  /// kBudgetBusy when what is left cannot be reached now, kRetiredInLog,
  /// or kUnknownBudget
  /// @complexity constant on average
  ReserveResult Reserve(core::TimePoint now,
                        const core::BudgetId& budget,
                        core::Tokens upper_bound,
                        v1::AdmissionClass admission_class);

  /// @brief Settles an attempt that ran, or may have run.
  /// @param charge whether the account is billed, and under which key
  /// @return nothing when the reservation is no longer open
  std::optional<Settlement> Settle(core::TimePoint now,
                                   const Reservation& reservation,
                                   core::Tokens spent,
                                   const Charge& charge);

  /// @brief Gives back the reservation of an attempt that did not run.
  /// @return whether the reservation was open
  bool Cancel(core::TimePoint now, const Reservation& reservation);

  /// @return budgets whose waiting requests should try again, before the next
  /// TakeRecords(): until they do, nothing is known to wait
  std::vector<core::BudgetId> TakeWokenBudgets();

  // ---- Commands ------------------------------------------------------------

  /// @brief Names the witness to have from now on; nothing: none. The same
  /// again changes nothing.
  void ChooseWitness(core::TimePoint now, const std::optional<PeerRef>& peer);
  /// @brief From now on spare tokens go back at once. Reserve() goes on for
  /// requests that were taken before; the caller takes no new ones.
  void StartDrain(core::TimePoint now);

  // ---- What the fold found -------------------------------------------------

  /// @brief The fold granted this incarnation's request in its entry
  /// `sequence`. A grant seen twice counts once.
  void OnGranted(core::TimePoint now,
                 const core::BudgetId& budget,
                 core::Tokens tokens,
                 core::Sequence sequence);
  void OnDenied(core::TimePoint now,
                const core::BudgetId& budget,
                core::Sequence sequence);
  /// @brief This incarnation's report of a cumulative spend was applied.
  /// To be called for each SpendReported of its own entries, in log order.
  void OnSpendApplied(const core::BudgetId& budget, core::Tokens spent);
  /// @brief Any transfer from or to this incarnation was applied.
  void OnTransferApplied(core::TimePoint now,
                         const v1::TransferRecorded& transfer);
  /// @brief A WitnessChosen of this incarnation was applied; nothing: none.
  void OnWitnessInForce(const std::optional<PeerRef>& peer);
  /// @brief The fold refused a WitnessChosen of this incarnation; choose
  /// another one.
  void OnWitnessRefused(const PeerRef& peer);
  /// @brief The log retired this incarnation.
  void OnRetired(core::TimePoint now);
  /// @brief What BalanceLookup answers for the budget changed. A budget that
  /// others use may get a holding on standby.
  void OnBalanceChanged(core::TimePoint now, const core::BudgetId& budget);
  /// @brief How many routers share the budgets, this one included.
  void OnActiveRouters(uint32_t active_routers);
  /// @brief Whether appends or reads have been failing for too long.
  void OnLogState(bool out);

  // ---- What peers sent -----------------------------------------------------

  void OnCeilingAck(core::TimePoint now,
                    const PeerRef& from,
                    const v1::CeilingAck& ack);
  /// @brief May queue a transfer, see TakeTransferSends().
  void OnTransferAsk(core::TimePoint now,
                     const PeerRef& from,
                     const v1::TransferAsk& ask);
  /// @return the acknowledgement to send back; nothing once retired
  std::optional<v1::TransferAck> OnTransferSend(core::TimePoint now,
                                                const PeerRef& from,
                                                const v1::TransferSend& send);
  void OnTransferAck(const PeerRef& from, const v1::TransferAck& ack);
  /// @brief What a heartbeat said a peer could transfer.
  void OnPeerSpares(core::TimePoint now,
                    const PeerRef& peer,
                    const std::vector<v1::Spare>& spares);

  // ---- Time ---------------------------------------------------------------

  /// @brief Runs what is due: reviews of holdings, retries of waiting requests.
  /// @complexity linear in what is due; nothing is due for idle budgets
  void OnTick(core::TimePoint now);

  // ---- What is to be sent --------------------------------------------------

  /// @brief Records for the log, each handed out once; nothing while the log is
  /// out. To be called when the log client can take more. At most
  /// kMaxRecordsPerTake, except for the final ones of a retired incarnation.
  std::vector<v1::Record> TakeRecords(core::TimePoint now);
  /// @return raises to send to the witness and to its successor
  std::vector<CeilingRaiseTo> TakeCeilingRaises(core::TimePoint now);
  std::vector<TransferAskTo> TakeTransferAsks(core::TimePoint now);
  std::vector<TransferSendTo> TakeTransferSends(core::TimePoint now);
  /// @return what heartbeats advertise; looks at a bounded number of budgets
  /// and goes on from there the next time
  std::vector<v1::Spare> TakeSpares(core::TimePoint now);

  // ---- Reading -------------------------------------------------------------

  const std::optional<PeerRef>& WitnessInForce() const;
  /// @return whether the witness refuses raises: choose another one
  bool WitnessRefuses() const;
  bool Retired() const { return m_retired; }
  /// @return whether a retired incarnation has handed out its final report
  bool Finalized() const { return m_finalized; }
  uint64_t OpenReservations() const { return m_open_reservations.size(); }
  /// @return nothing for a budget that was never touched
  std::optional<v1::BudgetStatus> StatusOf(const core::BudgetId& budget) const;
  std::vector<v1::BudgetStatus> Statuses() const;
  /// @complexity constant
  const HoldingTotals& Totals() const { return m_totals; }
  /// @brief Checks the invariants of each touched budget.
  /// @return kConservationBroken with the first budget that breaks one
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
    std::optional<bool> grant_pending;  ///< outstanding; whether of class GATE
    bool denied = false;                ///< by the last answer
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

  /// In order of first touch; stable addresses.
  std::deque<Account> m_accounts;
  std::unordered_map<core::BudgetId, Account*> m_by_id;
  std::unordered_map<ReservationId, OpenReservation> m_open_reservations;
  uint64_t m_last_reservation = 0;
  HoldingTotals m_totals;

  WitnessSet m_witnesses;
  Transfers m_transfers;
  PeerSpares m_peer_spares;

  std::deque<v1::Record>
      m_pending_records;                ///< returns and transfers, in order
  std::deque<Account*> m_sizing_queue;  ///< may need another allotment
  std::deque<Account*> m_spend_queue;   ///< have settlements to report
  core::TimePoint m_spend_report_due{};
  std::multimap<core::TimePoint, Account*> m_reviews;
  std::set<core::BudgetId> m_waiting;  ///< with requests that wait
  std::vector<core::BudgetId> m_woken;
  core::TimePoint m_retry_due{};
  size_t m_spares_cursor = 0;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_HOLDING_MANAGER_H_
