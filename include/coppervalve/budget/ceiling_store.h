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

/// @brief The ceilings that this router keeps for its peers.
class CeilingStore {
 public:
  /// @brief Remembers the ceilings of a peer, the larger of old and new.
  /// @return the answer to send back; refused once Close() was called
  /// @complexity linear in the size of the raise
  v1::CeilingAck OnCeilingRaise(const PeerRef& from,
                                const v1::CeilingRaise& raise);

  /// @brief Refuses all raises of an incarnation from now on, also when it
  /// never sent one. Called when the log retires it, before
  /// QuarantineNarrowedFor().
  void Close(const PeerRef& peer);

  /// @return the record that narrows a closed peer's quarantine; nothing while
  /// the peer is not closed, or when no complete list was ever received
  std::optional<v1::QuarantineNarrowed> QuarantineNarrowedFor(
      const PeerRef& peer) const;

  /// @brief Frees the ceilings of a closed peer; it stays closed.
  void ForgetCeilings(const PeerRef& peer);

 private:
  struct PeerEntry {
    bool complete = false;
    std::unordered_map<core::BudgetId, core::Tokens> ceilings;
    std::unordered_map<uint32_t, core::BudgetId> names;  ///< by number
    bool closed = false;
  };

  static bool LearnNames(const v1::CeilingRaise& raise, PeerEntry& entry);

  std::unordered_map<core::Incarnation, PeerEntry> m_peers;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_CEILING_STORE_H_
