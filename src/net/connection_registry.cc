#include "coppervalve/net/connection_registry.h"

#include <optional>  // optional
#include <utility>   // move

namespace coppervalve::net {

namespace {

// Connections that are passed over in one search, as their input has not been
// read yet.
constexpr size_t kMaxPassedOver = 64;

// A request that waits to be read counts as progress. It is of no use to a
// connection whose last response was sent.
bool IsReadSoon(const ConnectionRegistry::Excess& excess,
                const ConnectionRegistry::HasInput& has_input) {
  return excess.limit == core::ConnectionLimit::kConnections &&
         excess.stage != core::ConnectionStage::kClosing && has_input();
}

}  // namespace

ConnectionRegistry::ConnectionRegistry(
    const core::ConnectionLimits& limits,
    std::function<void(const Excess&)> on_ended)
    : m_ledger(limits), m_on_ended(std::move(on_ended)) {}

std::shared_ptr<ConnectionRegistry::Entry> ConnectionRegistry::Add(
    EndConnection end,
    HasInput has_input) {
  const Id id = m_ledger.Open();
  m_connections.emplace(id, Connection{std::move(end), std::move(has_input)});
  auto entry = std::make_shared<Entry>(shared_from_this(), id);
  EndExcess();
  return entry;
}

void ConnectionRegistry::Remove(Id id) {
  m_ledger.Close(id);
  m_connections.erase(id);
}

// Ending a connection updates or removes its entry. One that is ended twice
// without that would be found again and again.
void ConnectionRegistry::EndExcess() {
  if (m_ending) {
    return;
  }
  m_ending = true;
  Id last = 0;
  size_t passed_over = 0;
  while (const std::optional<Excess> excess = m_ledger.FindExcess()) {
    const auto found = m_connections.find(excess->id);
    if (found == m_connections.end() || excess->id == last) {
      break;
    }
    if (passed_over < kMaxPassedOver &&
        IsReadSoon(*excess, found->second.has_input)) {
      ++passed_over;
      m_ledger.Update(excess->id, excess->stage, excess->bytes);
      continue;
    }
    last = excess->id;
    m_on_ended(*excess);
    const EndConnection end = found->second.end;
    end(excess->limit);
  }
  m_ending = false;
}

// @return whether a connection was ended
bool ConnectionRegistry::EndUnread() {
  const std::optional<Excess> unread = m_ledger.FindUnread();
  if (!unread) {
    return false;
  }
  const auto found = m_connections.find(unread->id);
  if (found == m_connections.end()) {
    return false;
  }
  m_on_ended(*unread);
  const EndConnection end = found->second.end;
  end(unread->limit);
  const std::optional<Excess> next = m_ledger.FindUnread();
  return !next || next->id != unread->id;
}

ConnectionRegistry::Entry::Entry(std::shared_ptr<ConnectionRegistry> registry,
                                 Id id)
    : m_registry(std::move(registry)), m_id(id) {}

ConnectionRegistry::Entry::~Entry() {
  m_registry->Remove(m_id);
}

void ConnectionRegistry::Entry::Update(core::ConnectionStage stage,
                                       size_t bytes) {
  m_registry->m_ledger.Update(m_id, stage, bytes);
  m_registry->EndExcess();
}

bool ConnectionRegistry::Entry::Admits() const {
  return m_registry->m_ledger.Admits(m_id);
}

bool ConnectionRegistry::Entry::FindConnections() {
  bool found = m_registry->m_ledger.HasConnectionsForBusy();
  while (!found && m_registry->EndUnread()) {
    found = m_registry->m_ledger.HasConnectionsForBusy();
  }
  return found;
}

}  // namespace coppervalve::net
