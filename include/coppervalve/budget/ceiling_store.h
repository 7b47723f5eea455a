#ifndef COPPERVALVE_BUDGET_CEILING_STORE_H_
#define COPPERVALVE_BUDGET_CEILING_STORE_H_

#include <cstdint>        // uint32_t
#include <optional>       // optional
#include <unordered_map>  // unordered_map

#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::budget {

/// @brief Stores the ceilings of the peers that have this router as witness.
class CeilingStore {
 public:
  /// @brief Stores the ceilings of a peer, the larger of old and new.
  /// @return the acknowledgement to send back, refused after Close() or when a
  /// budget number is unknown
  /// @complexity linear in the size of the raise
  v1::CeilingAck OnCeilingRaise(const PeerRef& from,
                                const v1::CeilingRaise& raise);

  /// @brief Refuses all raises of an incarnation from now on, even if it has
  /// not sent any yet. Called when the log retires it, before
  /// QuarantineNarrowedFor().
  void Close(const PeerRef& peer);

  /// @return the record that reduces a closed peer's quarantine; nullopt while
  /// the peer is not closed, or when its full list was never received
  std::optional<v1::QuarantineNarrowed> QuarantineNarrowedFor(
      const PeerRef& peer) const;

  /// @brief Deletes the ceilings of a closed peer. Its raises stay refused.
  void ForgetCeilings(const PeerRef& peer);

 private:
  struct PeerEntry {
    bool complete = false;
    std::unordered_map<core::BudgetId, core::Tokens> ceilings;
    std::unordered_map<uint32_t, core::BudgetId> budgets_by_number;
    bool closed = false;
  };

  static bool StoreBudgetNames(const v1::CeilingRaise& raise, PeerEntry& entry);

  std::unordered_map<core::Incarnation, PeerEntry> m_peers;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_CEILING_STORE_H_
