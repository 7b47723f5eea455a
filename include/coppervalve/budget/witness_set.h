#ifndef COPPERVALVE_BUDGET_WITNESS_SET_H_
#define COPPERVALVE_BUDGET_WITNESS_SET_H_

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <vector>      // vector

#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/budget/witness_ceilings.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::budget {

struct CeilingRaiseTo {
  PeerRef to;
  v1::CeilingRaise raise;
};

/// @brief The witnesses whose ceilings limit this incarnation, called binding.
///
/// While a WitnessChosen record is handed out but not known to be applied,
/// either witness may be in force in the ledger, so the ceilings of both apply.
class WitnessSet {
 public:
  WitnessSet();

  /// @brief Starts a change to another witness, or to none.
  /// @return whether there is a new candidate; its ceilings must be requested
  /// at once
  bool StartChange(const std::optional<PeerRef>& peer);
  /// @brief Requests a ceiling from all binding witnesses and the candidate.
  void RequestCeiling(const core::BudgetId& budget, core::Tokens ceiling);

  /// @return the ceiling that applies to a budget; nullopt when unlimited
  std::optional<core::Tokens> EffectiveCeiling(
      const core::BudgetId& budget) const;
  /// @return the smallest ceiling requested from these witnesses; nullopt when
  /// unlimited
  std::optional<core::Tokens> RequestedCeiling(
      const core::BudgetId& budget) const;
  /// @return the largest ceiling requested from a witness that may be in force,
  /// whether or not it has acknowledged it; nullopt when unlimited
  std::optional<core::Tokens> LargestRequestedCeiling(
      const core::BudgetId& budget) const;
  /// @return the candidate to record, once it has acknowledged the full list
  /// and no other change is pending; null when there is none
  const WitnessCeilings* ReadyCandidate() const;
  /// @brief Returns the record of the candidate, whose ceilings apply from now
  /// on.
  /// @pre the ceilings of ReadyCandidate() cover all committed tokens
  v1::WitnessChosen RecordCandidate();
  /// @brief The ledger put the recorded witness in force; only its ceilings
  /// apply.
  void OnInForce(const std::optional<PeerRef>& peer);
  /// @brief The ledger refused the recorded witness; its ceilings no longer
  /// apply.
  void OnRefused(const PeerRef& peer);

  std::vector<CeilingRaiseTo> TakeRaises(core::TimePoint now);
  std::vector<core::BudgetId> OnAck(const PeerRef& from,
                                    const v1::CeilingAck& ack);

  const std::optional<PeerRef>& InForce() const;
  /// @return whether the newest witness refuses raises
  bool Refused() const;

 private:
  std::vector<WitnessCeilings> m_binding;  ///< in force, then the recorded one
  std::optional<WitnessCeilings> m_candidate;
  uint64_t m_last_serial = 0;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_WITNESS_SET_H_
