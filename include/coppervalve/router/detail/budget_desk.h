#ifndef COPPERVALVE_ROUTER_DETAIL_BUDGET_DESK_H_
#define COPPERVALVE_ROUTER_DETAIL_BUDGET_DESK_H_

#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/budget/ceiling_store.h"
#include "coppervalve/budget/holding_manager.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"
#include "coppervalve/router/detail/log_desk.h"
#include "coppervalve/router/detail/peer_desk.h"
#include "coppervalve/router/settings.h"

namespace coppervalve::router::detail {

/// @brief Connects this router's holdings with the log and with its peers, both
/// as a spender and as a witness of others.
class BudgetDesk {
 public:
  BudgetDesk(const RouterSettings& settings,
             core::Incarnation incarnation,
             LogDesk& log,
             PeerDesk& peers);

  /// @brief Takes what one folded entry changed.
  void OnFolded(core::TimePoint now,
                const v1::Entry& entry,
                const std::vector<ledger::Effect>& effects);
  /// @return whether the message was one about budgets
  bool OnPeerMessage(core::TimePoint now, const v1::PeerMessage& message);
  /// @brief Runs what is due.
  void Tick(core::TimePoint now);
  /// @brief Sends what is ready. Requests that Tick() woke must have tried
  /// again before: the book forgets what waits when it wakes it.
  void Send(core::TimePoint now);
  /// @brief Chooses, keeps or replaces the witness.
  void ReviewWitness(core::TimePoint now);
  /// @return whether nothing is held any more and all is reported
  bool Settled() const;

  budget::HoldingManager& book() { return m_book; }
  const budget::HoldingManager& book() const { return m_book; }

 private:
  bool IsSelf(const core::RouterId& router,
              core::Incarnation incarnation) const;
  void OnEffect(core::TimePoint now, const ledger::Effect& effect);
  void OnOwnEntry(const v1::Entry& entry);
  void OnRetired(core::TimePoint now, const ledger::Retired& retired);
  void StateCeilings(const budget::PeerRef& retired);
  void SendRecords(core::TimePoint now);
  void SendMessages(core::TimePoint now);
  std::optional<budget::BalanceView> BalanceOf(
      const core::BudgetId& budget) const;

  budget::PeerRef m_self;
  LogDesk& m_log;
  PeerDesk& m_peers;
  budget::HoldingManager m_book;
  budget::CeilingStore m_witness_desk;
  std::optional<core::TimePoint> m_witness_reviewed;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_BUDGET_DESK_H_
