#ifndef COPPERVALVE_BUDGET_WITNESS_CEILINGS_H_
#define COPPERVALVE_BUDGET_WITNESS_CEILINGS_H_

#include <cstdint>        // uint32_t, uint64_t
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/peer.pb.h"

namespace coppervalve::budget {

/// @brief An unacknowledged raise is sent again after this time.
inline constexpr core::Duration kRaiseResendInterval{200'000};  // microseconds
/// @brief Maximum number of ceilings in one raise, except in the full list.
inline constexpr size_t kMaxCeilingsPerRaise = 1024;

/// @brief The ceilings requested from, and acknowledged by, one witness. One
/// raise is outstanding at a time; the first one is the full list.
class WitnessCeilings {
 public:
  /// @param peer the witness; nullopt for no witness, in which case ceilings
  /// are unlimited
  explicit WitnessCeilings(std::optional<PeerRef> peer);

  const std::optional<PeerRef>& Peer() const { return m_peer; }
  /// @brief Requests that the ceiling of a budget be at least `ceiling`.
  void RequestCeiling(const core::BudgetId& budget, core::Tokens ceiling);
  /// @return the highest ceiling requested so far; nullopt when unlimited
  std::optional<core::Tokens> RequestedCeiling(
      const core::BudgetId& budget) const;
  /// @return the ceiling that the witness has acknowledged; nullopt when
  /// unlimited
  std::optional<core::Tokens> AcknowledgedCeiling(
      const core::BudgetId& budget) const;
  /// @return whether the witness has acknowledged the full list
  bool Complete() const { return m_complete || !m_peer; }
  bool Refused() const { return m_refused; }

  /// @brief Returns the raise to send now, if any.
  /// @param last_serial last serial of this incarnation's raises to any
  /// witness; advanced by a new raise
  std::optional<v1::CeilingRaise> TakeRaise(core::TimePoint now,
                                            uint64_t& last_serial);
  /// @return the budgets whose ceilings were acknowledged; none when the
  /// acknowledgement is not that of the outstanding raise
  std::vector<core::BudgetId> OnAck(const v1::CeilingAck& ack);

 private:
  struct Ceiling {
    core::Tokens requested;
    core::Tokens acknowledged;
    uint32_t number = 0;  ///< identifies the budget to this witness; 0: unset
    bool name_acknowledged = false;  ///< by the witness
    bool queued = false;
  };

  v1::CeilingRaise NextRaise(uint64_t serial);
  void Write(const core::BudgetId& budget, v1::PeerCeiling& ceiling);

  std::optional<PeerRef> m_peer;
  std::unordered_map<core::BudgetId, Ceiling> m_ceilings;
  std::vector<core::BudgetId> m_queue;  ///< requested but not sent yet
  std::vector<core::BudgetId> m_budget_by_number;  ///< number n is at n - 1
  std::optional<v1::CeilingRaise> m_outstanding;
  core::TimePoint m_sent_at{};
  bool m_complete = false;
  bool m_refused = false;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_WITNESS_CEILINGS_H_
