#include "coppervalve/router/core.h"

#include <iterator>  // make_move_iterator
#include <utility>   // move
#include <variant>   // holds_alternative

#include "coppervalve/router/detail/session.h"

namespace coppervalve::router {

struct RouterCore::Session : detail::Session {
  using detail::Session::Session;
};

RouterCore::RouterCore(RouterSettings settings, RouterHooks hooks)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)) {
  Restart();
}

RouterCore::~RouterCore() = default;

void RouterCore::Restart() {
  // 0 stands for "none" in the records.
  core::Incarnation incarnation;
  while (incarnation == core::Incarnation()) {
    incarnation = core::Incarnation(m_hooks.random());
  }
  m_session = std::make_unique<Session>(m_settings, m_hooks, incarnation);
}

// A retired incarnation that has ended is replaced, unless the process is about
// to end anyway. The read that the old one may have outstanding is answered to
// the new one, whose reader ignores what it did not ask for.
std::vector<Action> RouterCore::Handle(core::TimePoint now,
                                       const Event& event) {
  std::vector<Action> actions = m_session->Handle(now, event);
  if (m_session->phase() == detail::Phase::kEnded && !m_session->draining()) {
    Restart();
  }
  return actions;
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

const budget::Book& RouterCore::book() const {
  return m_session->budgets().book();
}

}  // namespace coppervalve::router
