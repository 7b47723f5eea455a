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

/// @brief Which witnesses bind this incarnation, and how far.
///
/// Between handing out a WitnessChosen and seeing it applied, either witness
/// may be the one in force in the log, so both bind.
class WitnessSet {
 public:
  WitnessSet();

  /// @brief Starts to hand over to a witness, or to none.
  /// @return whether a new candidate was taken: its ceilings are to be
  /// requested for at once
  bool StartChange(const std::optional<PeerRef>& peer);
  /// @brief Wants a ceiling at all binding witnesses and at the candidate.
  void RequestCeiling(const core::BudgetId& budget, core::Tokens ceiling);

  /// @return the ceiling that binds a budget; nothing when none does
  std::optional<core::Tokens> EffectiveCeiling(
      const core::BudgetId& budget) const;
  /// @return the smallest ceiling requested for; nothing when none binds
  std::optional<core::Tokens> RequestedCeiling(
      const core::BudgetId& budget) const;
  /// @return the candidate to record: it acknowledged the full list, and no
  /// other record is on its way; null when there is none
  const WitnessCeilings* ReadyCandidate() const;
  /// @brief Hands out the record; the candidate binds from now on.
  /// @pre ReadyCandidate() covers all that is committed
  v1::WitnessChosen RecordCandidate();
  /// @brief The fold put the recorded witness in force: it alone binds.
  void OnInForce(const std::optional<PeerRef>& peer);
  /// @brief The fold refused the recorded witness: it binds no longer.
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
