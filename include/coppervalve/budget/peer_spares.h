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

/// @brief How long an advertisement is valid after it was last received.
inline constexpr core::Duration kSpareLifetime{3'000'000};  // microseconds

/// @brief All offers are dropped above this number of budgets; later heartbeats
/// restore them.
inline constexpr size_t kMaxOfferedBudgets = 8192;

/// @brief The spare tokens that peers advertise for transfer.
class PeerSpares {
 public:
  struct Offer {
    PeerRef peer;
    core::Tokens tokens;
  };

  void OnHeartbeat(core::TimePoint now,
                   const PeerRef& peer,
                   const std::vector<v1::Spare>& spares);
  /// @return the largest valid offer above zero, if any
  std::optional<Offer> BestOffer(core::TimePoint now,
                                 const core::BudgetId& budget) const;
  /// @return the sum of the valid offers
  core::Tokens TotalOffered(core::TimePoint now,
                            const core::BudgetId& budget) const;
  /// @brief Reduces an offer by tokens that were requested from it, until the
  /// peer advertises it again.
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
