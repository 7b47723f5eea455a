#ifndef COPPERVALVE_BUDGET_PEER_SPARES_H_
#define COPPERVALVE_BUDGET_PEER_SPARES_H_

#include <map>            // map
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/peer.pb.h"

namespace coppervalve::budget {

/// @brief An advertisement counts for this long after it was last heard.
inline constexpr core::Duration kSpareLifetime{3'000'000};  // microseconds

/// @brief Past this many budgets the offers are dropped; heartbeats bring them
/// again.
inline constexpr size_t kMaxOfferedBudgets = 8192;

/// @brief What peers advertise that they could transfer.
class PeerSpares {
 public:
  struct Offer {
    PeerRef peer;
    core::Tokens tokens;
  };

  void OnHeartbeat(core::TimePoint now,
                   const PeerRef& peer,
                   const std::vector<v1::Spare>& spares);
  /// @return the largest fresh offer, if any is above zero
  std::optional<Offer> BestOffer(core::TimePoint now,
                                 const core::BudgetId& budget) const;
  /// @return the sum of the fresh offers
  core::Tokens TotalOffered(core::TimePoint now,
                            const core::BudgetId& budget) const;
  /// @brief Lowers an offer that was requested for, until it is heard again.
  void Deduct(const core::BudgetId& budget,
              const PeerRef& peer,
              core::Tokens tokens);

 private:
  struct Advertisement {
    core::Tokens tokens;
    core::TimePoint at;
  };

  std::unordered_map<core::BudgetId, std::map<PeerRef, Advertisement>> m_offers;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_PEER_SPARES_H_
