#include "coppervalve/router/detail/session.h"

#include <limits>   // numeric_limits
#include <utility>  // move
#include <variant>  // get_if, visit

#include "coppervalve/request/key_name.h"
#include "coppervalve/router/detail/json_reply.h"
#include "coppervalve/router/detail/status_report.h"

namespace coppervalve::router::detail {

using core::Error;
using core::ErrorId;
using core::TimePoint;
using logclient::Urgency;

namespace {

std::string PrefixOf(const membership::MemberId& id) {
  return request::KeyPrefix({id.router, id.incarnation});
}

std::string_view ReasonOf(membership::StaleReason reason) {
  switch (reason) {
    case membership::StaleReason::kNeverRead:
      return "the log was never read to its end";
    case membership::StaleReason::kNewerVersion:
      return "a peer has a newer configuration";
    case membership::StaleReason::kNotConfirmed:
      return "the log cannot be read and no peer confirms the configuration";
    case membership::StaleReason::kMinority:
      return "disconnected from both the log and most routers";
  }
  return "";
}

}  // namespace

Session::Session(const RouterSettings& settings,
                 const RouterHooks& hooks,
                 core::Incarnation incarnation,
                 std::optional<Predecessor> predecessor)
    : m_settings(settings),
      m_incarnation(incarnation),
      m_rejoins(predecessor.has_value()),
      m_log(settings,
            incarnation,
            hooks,
            m_outbox,
            predecessor ? std::move(predecessor->fold)
                        : ledger::Fold(settings.fold)),
      m_peers(settings, incarnation, m_outbox),
      m_budgets(settings, incarnation, m_log, m_peers, m_outbox),
      m_flow({settings, hooks, incarnation, m_log, m_peers,
              m_budgets.holding_manager(), m_configured, m_outbox}),
      m_orders(settings.router, incarnation, m_log, m_outbox),
      m_addresses(m_peers.self(), PrefixOf) {
  m_log.SetOnFolded([this](const v1::Entry& entry,
                           const std::vector<ledger::Effect>& effects) {
    OnFolded(m_now, entry, effects);
  });
  if (predecessor) {
    m_flow.AdoptRequests(std::move(predecessor->requests));
    m_peers.SetMembers(m_log.fold());
    ApplyConfiguration();
  }
}

Predecessor Session::TakePredecessor() {
  // A fold that has failed stays failed; only a new one may get past the entry.
  ledger::Fold fold = m_log.failure().has_value()
                          ? ledger::Fold(m_settings.fold)
                          : m_log.TakeFold();
  return {std::move(fold), m_flow.TakeRequests()};
}

std::vector<Action> Session::Handle(TimePoint now, const Event& event) {
  m_now = now;
  EvaluateFreshness(now);
  std::visit([&](const auto& e) { On(now, e); }, event);
  EvaluateFreshness(now);
  Pump(now);
  return m_outbox.Take();
}

// A process that resumes after a pause of, say, a minute must not serve the
// requests in its sockets under replaced rules. Freshness is therefore checked
// before each event, and again after it because the event may contain a newer
// read.
void Session::EvaluateFreshness(TimePoint now) {
  const auto verdict =
      m_peers.EvaluateFreshness(now, m_configured.version(), m_log.fold());
  const auto* stale = std::get_if<membership::Stale>(&verdict);
  m_stale.reset();
  if (stale != nullptr) {
    m_stale = Error{ErrorId::kConfigurationStale, m_settings.router.value(),
                    std::string(ReasonOf(stale->why))};
  }
}

// ---- Callers ---------------------------------------------------------------

std::optional<Error> Session::NotServingReason() const {
  if (m_log.failure().has_value()) {
    return *m_log.failure();
  }
  if (m_phase == Phase::kMember) {
    return std::nullopt;
  }
  const bool starting =
      m_phase == Phase::kReading || m_phase == Phase::kJoining;
  if (starting && !m_rejoins) {
    return Error{ErrorId::kNotReady, m_settings.router.value(),
                 "still reading the log"};
  }
  return Error{ErrorId::kRetiredInLog, m_settings.router.value(),
               "retired in the log; will join again soon"};
}

std::optional<Error> Session::ClosedReason() const {
  if (auto not_serving = NotServingReason()) {
    return not_serving;
  }
  if (!m_drain.AcceptsNewRequests()) {
    return Error{ErrorId::kDraining, m_settings.router.value(),
                 "draining; request the router addresses again"};
  }
  return m_stale;
}

bool Session::Ready() const {
  return !ClosedReason().has_value() && m_drain.Listed();
}

bool Session::draining() const {
  return m_drain.phase() != membership::DrainPhase::kActive;
}

void Session::On(TimePoint now, const RequestArrived& event) {
  const std::optional<Error> closed = ClosedReason();
  if (closed.has_value() && m_phase == Phase::kReading && !m_rejoins) {
    m_flow.RefuseBeforeFirstRead(event, *closed);
    return;
  }
  m_flow.OnArrived(now, event, closed);
}

void Session::On(TimePoint now, const AddressesRequested& event) {
  const auto account = m_flow.Authenticate(event.api_key, std::nullopt);
  if (!core::IsOk(account)) {
    m_flow.Deny(event.request, core::Failure(account), std::nullopt,
                core::RunState::kNotRun, ClosedReason());
    return;
  }
  membership::OwnState own;
  own.listed = Ready();
  own.load = {static_cast<uint32_t>(m_flow.in_progress()),
              static_cast<uint32_t>(m_flow.queued())};
  const v1::AddressList list = m_addresses.AddressesFor(
      core::Value(account)->id, own, m_peers.view().Peers(now));
  m_outbox.Add(ReplyJson{event.request, kHttpOk, JsonOf(list)});
}

void Session::On(TimePoint now, const StatusRequested& event) {
  m_flow.OnStatusRequested(now, event, ClosedReason());
}

void Session::On(TimePoint now, const OperatorStatusRequested& event) {
  m_outbox.Add(ReplyJson{event.request, kHttpOk, JsonOf(Status(now))});
}

void Session::On(TimePoint now, const CallerDisconnected& event) {
  m_flow.OnCallerDisconnected(now, event.request);
}

void Session::On(TimePoint now, const ForwardEnded& event) {
  m_flow.OnForwardEnded(now, event);
}

// ---- Upstreams -------------------------------------------------------------

void Session::On(TimePoint now, const AttemptNotSent& event) {
  m_flow.OnNotSent(now, event);
}

void Session::On(TimePoint now, const AttemptDeclined& event) {
  m_flow.OnDeclined(now, event);
}

void Session::On(TimePoint now, const AttemptFirstToken& event) {
  m_flow.OnFirstToken(now, event);
}

void Session::On(TimePoint now, const AttemptDone& event) {
  m_flow.OnDone(now, event);
}

void Session::On(TimePoint now, const AttemptFailed& event) {
  m_flow.OnFailed(now, event);
}

void Session::On(TimePoint now, const ProbeEnded& event) {
  m_flow.OnProbeEnded(now, event);
}

void Session::On(TimePoint now, const OrderSent& event) {
  m_orders.OnSent(now, event);
}

// ---- Platform --------------------------------------------------------------

void Session::On(TimePoint now, const VmListRead& event) {
  (void)now;
  m_flow.OnVmList(event.vms);
}

void Session::On(TimePoint now, const LogRead& event) {
  AfterReading(now, m_log.OnRead(now, event.reply));
}

void Session::On(TimePoint now, const LogReadFailed& event) {
  (void)event;
  m_log.OnReadFailed(now);
}

void Session::On(TimePoint now, const LogAppended& event) {
  m_log.OnAppended(now, event.offset);
}

void Session::On(TimePoint now, const LogAppendFailed& event) {
  (void)event;
  m_log.OnAppendFailed(now);
}

void Session::AfterReading(TimePoint now, bool at_end) {
  ApplyConfiguration();
  m_orders.AfterReading(now);
  if (std::exchange(m_members_changed, false)) {
    m_peers.SetMembers(m_log.fold());
    m_flow.limiter().SetRouters(
        static_cast<uint32_t>(m_peers.view().live_members()));
  }
  if (m_log.has_skipped_entries() && m_phase == Phase::kMember) {
    OnOwnRetirement(now);
  }
  if (!at_end) {
    return;
  }
  m_peers.OnReadToEnd(now, *m_log.last_read_to_end(), m_log.fold());
  if (m_phase == Phase::kReading) {
    Join();
  }
}

void Session::Join() {
  m_phase = Phase::kJoining;
  v1::Record record;
  v1::RouterJoined& joined = *record.mutable_router_joined();
  joined.set_caller_address(m_settings.caller_address);
  joined.set_peer_address(m_settings.peer_address);
  joined.set_operator_address(m_settings.operator_address);
  joined.set_failure_domain(m_settings.failure_domain.value());
  joined.set_region(m_settings.region);
  joined.set_version(m_settings.version);
  Append(std::move(record));
}

void Session::ApplyConfiguration() {
  if (!m_configured.Update(m_log.fold())) {
    return;
  }
  m_flow.OnConfigured();
  const config::EffectiveLimits& limits = m_configured.tables().limits();
  m_peers.SetFreshnessBound(limits.config_freshness);
  m_peers.SetRetireAfter(limits.retire_after);
  m_addresses.SetLifetime(limits.address_lifetime);
  m_drain.SetAddressLifetime(limits.address_lifetime);
  m_outbox.Info("configuration_in_force",
                {{"version", std::to_string(m_configured.version().value())},
                 {"operator", m_log.fold().config_operator()}});
  ConfirmConfiguration();
}

// The entry shows how far this router has read. A proposal waits for that, so
// the entry is written immediately instead of in a later batch.
void Session::ConfirmConfiguration() {
  if (m_phase != Phase::kMember) {
    return;
  }
  v1::Record record;
  record.mutable_config_confirmed()->set_version(
      m_configured.version().value());
  Append(std::move(record));
}

void Session::Append(v1::Record record) {
  const core::Status added = m_log.Add(std::move(record), Urgency::kUrgent);
  if (!core::IsOk(added)) {
    m_outbox.Alarm(core::Failure(added));
  }
}

bool Session::IsSelf(const core::RouterId& router,
                     core::Incarnation incarnation) const {
  return router == m_settings.router && incarnation == m_incarnation;
}

void Session::OnFolded(TimePoint now,
                       const v1::Entry& entry,
                       const std::vector<ledger::Effect>& effects) {
  m_budgets.OnFolded(now, entry, effects);
  for (const ledger::Effect& effect : effects) {
    m_orders.OnEffect(now, effect);
    OnEffect(now, effect);
  }
}

void Session::OnEffect(TimePoint now, const ledger::Effect& effect) {
  if (const auto* joined = std::get_if<ledger::Joined>(&effect)) {
    m_members_changed = true;
    if (IsSelf(joined->router, joined->incarnation)) {
      m_phase = Phase::kMember;
      m_outbox.Info("joined", {{"router", joined->router.value()}});
      ConfirmConfiguration();
    }
  } else if (const auto* retired = std::get_if<ledger::Retired>(&effect)) {
    m_members_changed = true;
    m_outbox.Info("retired",
                  {{"router", retired->router.value()},
                   {"reason", v1::RetireReason_Name(retired->reason)}});
    m_flow.limiter().ForgetPeer(retired->router);
    if (IsSelf(retired->router, retired->incarnation)) {
      OnOwnRetirement(now);
    }
  } else if (const auto* drain = std::get_if<ledger::DrainBegun>(&effect)) {
    m_members_changed = true;
    m_drain_announced =
        m_drain_announced || IsSelf(drain->router, drain->incarnation);
  } else if (std::holds_alternative<ledger::WitnessInForce>(effect) ||
             std::holds_alternative<ledger::VotersChanged>(effect)) {
    m_members_changed = true;
  } else if (std::holds_alternative<ledger::ConfigProposed>(effect)) {
    ConfirmConfiguration();
  } else if (const auto* won = std::get_if<ledger::ClaimWon>(&effect)) {
    if (IsSelf(won->router, won->incarnation)) {
      m_flow.OnClaim(now, won->key_hash, {won->router, won->incarnation});
    }
  } else if (const auto* lost = std::get_if<ledger::ClaimLost>(&effect)) {
    if (IsSelf(lost->router, lost->incarnation)) {
      m_flow.OnClaim(now, lost->key_hash,
                     {lost->owner, lost->owner_incarnation});
    }
  }
}

// ---- Timers ----------------------------------------------------------------

void Session::On(TimePoint now, const Tick& event) {
  (void)event;
  AdvanceDrain(now);
  EndIfFinished(now);
}

void Session::Pump(TimePoint now) {
  if (m_phase == Phase::kMember || m_phase == Phase::kRetired) {
    m_budgets.ReviewWitness(now);
    for (v1::RouterRetired& retired : m_peers.TakeRetirements(now)) {
      v1::Record record;
      *record.mutable_router_retired() = std::move(retired);
      Append(std::move(record));
    }
    m_budgets.Tick(now);
    m_flow.Pump(now, !m_stale.has_value());
    m_budgets.Send(now);
    if (m_phase == Phase::kMember) {
      m_orders.Pump(now, {!m_stale.has_value(), draining()});
    }
    m_peers.SendHeartbeatIfDue(now, [&] { return MakeHeartbeat(now); });
  }
  if (m_phase != Phase::kEnded) {
    m_log.Pump(now);
  }
}

v1::RouterStatus Session::Status(TimePoint now) const {
  return ReportStatus(now, {m_settings, m_incarnation, m_phase, m_drain.phase(),
                            m_stale.has_value(), m_log, m_peers, m_budgets,
                            m_flow, m_configured});
}

}  // namespace coppervalve::router::detail
