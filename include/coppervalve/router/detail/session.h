#ifndef COPPERVALVE_ROUTER_DETAIL_SESSION_H_
#define COPPERVALVE_ROUTER_DETAIL_SESSION_H_

#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/membership/address_list_builder.h"
#include "coppervalve/membership/drain.h"
#include "coppervalve/operator.pb.h"
#include "coppervalve/router/detail/active_configuration.h"
#include "coppervalve/router/detail/budget_manager.h"
#include "coppervalve/router/detail/log_access.h"
#include "coppervalve/router/detail/order_adapter.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/detail/peer_manager.h"
#include "coppervalve/router/detail/request_flow.h"
#include "coppervalve/router/events.h"
#include "coppervalve/router/settings.h"

namespace coppervalve::router::detail {

/// @brief State of an incarnation; it only moves forward.
enum class Phase : uint8_t {
  kReading,  ///< first read of the log
  kJoining,  ///< RouterJoined is appended, not yet folded
  kMember,   ///< serves requests
  kRetired,  ///< finishes requests, reports its final spend
  kEnded,    ///< finished: a new incarnation may start
  kStopped,  ///< its fold failed: serves nothing until restarted
};

/// @brief What an incarnation that has ended leaves to the next one of the same
/// process.
struct Predecessor {
  ledger::Fold fold;
  request::RequestTable requests;
};

/// @brief One incarnation of this router.
class Session {
 public:
  /// @param predecessor nullopt for the first incarnation of the process
  Session(const RouterSettings& settings,
          const RouterHooks& hooks,
          core::Incarnation incarnation,
          std::optional<Predecessor> predecessor = std::nullopt);

  std::vector<Action> Handle(core::TimePoint now, const Event& event);

  Phase phase() const { return m_phase; }
  bool draining() const;
  bool Ready() const;
  core::Incarnation incarnation() const { return m_incarnation; }
  v1::RouterStatus Status(core::TimePoint now) const;
  /// @pre phase() is kEnded; afterwards only destruction is allowed
  Predecessor TakePredecessor();
  const LogAccess& log() const { return m_log; }
  const BudgetManager& budgets() const { return m_budgets; }

 private:
  // One overload per event type.
  void On(core::TimePoint now, const RequestArrived& event);
  void On(core::TimePoint now, const AddressesRequested& event);
  void On(core::TimePoint now, const StatusRequested& event);
  void On(core::TimePoint now, const OperatorStatusRequested& event);
  void On(core::TimePoint now, const AttemptNotSent& event);
  void On(core::TimePoint now, const AttemptDeclined& event);
  void On(core::TimePoint now, const AttemptFirstToken& event);
  void On(core::TimePoint now, const AttemptDone& event);
  void On(core::TimePoint now, const AttemptFailed& event);
  void On(core::TimePoint now, const CallerDisconnected& event);
  void On(core::TimePoint now, const ForwardEnded& event);
  void On(core::TimePoint now, const LogRead& event);
  void On(core::TimePoint now, const LogReadFailed& event);
  void On(core::TimePoint now, const LogAppended& event);
  void On(core::TimePoint now, const LogAppendFailed& event);
  void On(core::TimePoint now, const VmListRead& event);
  void On(core::TimePoint now, const PeerReceived& event);
  void On(core::TimePoint now, const PeerSendFailed& event);
  void On(core::TimePoint now, const ProbeEnded& event);
  void On(core::TimePoint now, const OrderSent& event);
  void On(core::TimePoint now, const DrainRequested& event);
  void On(core::TimePoint now, const Tick& event);

  void OnFolded(core::TimePoint now,
                const v1::Entry& entry,
                const std::vector<ledger::Effect>& effects);
  void OnEffect(core::TimePoint now, const ledger::Effect& effect);
  void AfterReading(core::TimePoint now, bool at_end);
  void ApplyConfiguration();
  void ConfirmConfiguration();
  void Join();
  void OnOwnRetirement(core::TimePoint now);
  void AdvanceDrain(core::TimePoint now);
  void AnnounceRetirement();
  void EndIfFinished(core::TimePoint now);
  void EvaluateFreshness(core::TimePoint now);
  void Pump(core::TimePoint now);
  v1::Heartbeat MakeHeartbeat(core::TimePoint now);
  void OnPeerHeartbeat(core::TimePoint now, const v1::PeerMessage& message);
  void Append(v1::Record record);
  /// @return why no new work is accepted, if so
  std::optional<core::Error> ClosedReason() const;
  std::optional<core::Error> NotServingReason() const;
  bool IsSelf(const core::RouterId& router,
              core::Incarnation incarnation) const;

  const RouterSettings& m_settings;
  core::Incarnation m_incarnation;
  bool m_rejoins;  ///< an earlier incarnation of this process was a member
  Phase m_phase = Phase::kReading;
  Outbox m_outbox;
  LogAccess m_log;
  PeerManager m_peers;
  BudgetManager m_budgets;
  ActiveConfiguration m_configured;
  RequestFlow m_flow;
  OrderAdapter m_orders;
  membership::AddressListBuilder m_addresses;
  membership::Drain m_drain;

  core::TimePoint m_now{};
  bool m_members_changed = false;
  bool m_drain_announced = false;  ///< folded
  bool m_retirement_sent = false;
  std::optional<core::TimePoint> m_returning_since;
  std::optional<core::Error> m_stale;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_SESSION_H_
