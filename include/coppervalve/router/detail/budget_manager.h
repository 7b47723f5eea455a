#ifndef COPPERVALVE_ROUTER_DETAIL_BUDGET_MANAGER_H_
#define COPPERVALVE_ROUTER_DETAIL_BUDGET_MANAGER_H_

#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/budget/ceiling_store.h"
#include "coppervalve/budget/holding_manager.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"
#include "coppervalve/router/detail/log_access.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/detail/peer_manager.h"
#include "coppervalve/router/settings.h"

namespace coppervalve::router::detail {

/// @brief Connects the holdings of this router to the log and to its peers,
/// both as a spender and as the witness of peers.
class BudgetManager {
 public:
  BudgetManager(const RouterSettings& settings,
                core::Incarnation incarnation,
                LogAccess& log,
                PeerManager& peers,
                Outbox& outbox);

  /// @brief Handles the effects of one folded entry.
  void OnFolded(core::TimePoint now,
                const v1::Entry& entry,
                const std::vector<ledger::Effect>& effects);
  /// @return whether the message was about budgets
  bool OnPeerMessage(core::TimePoint now, const v1::PeerMessage& message);
  /// @brief Runs periodic work.
  void Tick(core::TimePoint now);
  /// @brief Sends pending records and messages. Call it after the requests
  /// woken by Tick() have tried again, because waking a request clears its
  /// demand.
  void Send(core::TimePoint now);
  /// @brief Chooses, keeps or replaces the witness.
  void ReviewWitness(core::TimePoint now);
  /// @return whether all holdings are returned or spent, and reported
  bool HoldingsReturned() const;

  budget::HoldingManager& holding_manager() { return m_holding_manager; }
  const budget::HoldingManager& holding_manager() const {
    return m_holding_manager;
  }

 private:
  bool IsSelf(const core::RouterId& router,
              core::Incarnation incarnation) const;
  void OnEffect(core::TimePoint now, const ledger::Effect& effect);
  void OnOwnEntry(const v1::Entry& entry,
                  const std::vector<ledger::Effect>& effects);
  void LogQuarantineChanges(const std::vector<ledger::Effect>& effects);
  void OnRetired(core::TimePoint now, const ledger::Retired& retired);
  bool IsWitnessOf(const budget::PeerRef& retired) const;
  void ReportCeilings();
  void LogNotReported(const budget::PeerRef& retired, const std::string& why);
  void SendRecords(core::TimePoint now);
  void SendMessages(core::TimePoint now);
  std::optional<budget::BalanceView> BalanceOf(
      const core::BudgetId& budget) const;

  budget::PeerRef m_self;
  LogAccess& m_log;
  PeerManager& m_peers;
  Outbox& m_outbox;
  budget::HoldingManager m_holding_manager;
  budget::CeilingStore m_ceiling_store;
  /// Retired peers whose ceilings are not in the backlog of the log yet.
  std::vector<budget::PeerRef> m_unreported;
  std::optional<core::TimePoint> m_witness_reviewed;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_BUDGET_MANAGER_H_
