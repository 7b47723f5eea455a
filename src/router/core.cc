#include "coppervalve/router/core.h"

#include <optional>  // nullopt, optional
#include <utility>   // move
#include <variant>   // holds_alternative

#include "coppervalve/router/detail/session.h"

namespace coppervalve::router {

struct RouterCore::Session : detail::Session {
  using detail::Session::Session;
};

RouterCore::RouterCore(RouterSettings settings, RouterHooks hooks)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)) {
  Start(std::nullopt);
}

RouterCore::~RouterCore() = default;

void RouterCore::Start(std::optional<detail::Predecessor> predecessor) {
  // 0 means "none" in the records.
  core::Incarnation incarnation;
  while (incarnation == core::Incarnation()) {
    incarnation = core::Incarnation(m_hooks.random());
  }
  m_session = std::make_unique<Session>(m_settings, m_hooks, incarnation,
                                        std::move(predecessor));
}

std::vector<Action> RouterCore::Handle(core::TimePoint now,
                                       const Event& event) {
  CountReply(event);
  std::vector<Action> actions = m_session->Handle(now, event);
  for (const Action& action : actions) {
    const bool to_log = std::holds_alternative<ReadLog>(action) ||
                        std::holds_alternative<AppendLog>(action);
    m_open_log_calls += to_log ? 1 : 0;
  }
  RestartIfEnded();
  return actions;
}

void RouterCore::CountReply(const Event& event) {
  const bool from_log = std::holds_alternative<LogRead>(event) ||
                        std::holds_alternative<LogReadFailed>(event) ||
                        std::holds_alternative<LogAppended>(event) ||
                        std::holds_alternative<LogAppendFailed>(event);
  if (from_log && m_open_log_calls > 0) {
    --m_open_log_calls;
  }
}

// A pending reply belongs to the old incarnation. The next incarnation would
// take the acknowledgement of an old append for that of its own join and never
// become a member, so it starts only when no call is pending.
void RouterCore::RestartIfEnded() {
  if (m_session->phase() == detail::Phase::kEnded && !m_session->draining() &&
      m_open_log_calls == 0) {
    Start(m_session->TakePredecessor());
  }
}

bool RouterCore::Ready() const {
  return m_session->Ready();
}

core::Incarnation RouterCore::incarnation() const {
  return m_session->incarnation();
}

v1::RouterStatus RouterCore::Status(core::TimePoint now) const {
  return m_session->Status(now);
}

const ledger::Fold& RouterCore::fold() const {
  return m_session->log().fold();
}

const budget::HoldingManager& RouterCore::holding_manager() const {
  return m_session->budgets().holding_manager();
}

}  // namespace coppervalve::router
