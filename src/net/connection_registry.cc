#include "coppervalve/net/connection_registry.h"

#include <optional>  // optional
#include <utility>   // move

namespace coppervalve::net {

ConnectionRegistry::ConnectionRegistry(
    const core::ConnectionLimits& limits,
    std::function<void(const Excess&)> on_ended)
    : m_ledger(limits), m_on_ended(std::move(on_ended)) {}

std::shared_ptr<ConnectionRegistry::Entry> ConnectionRegistry::Add(
    EndConnection end) {
  const Id id = m_ledger.Open();
  m_ends.emplace(id, std::move(end));
  auto entry = std::make_shared<Entry>(shared_from_this(), id);
  EndExcess();
  return entry;
}

void ConnectionRegistry::Remove(Id id) {
  m_ledger.Close(id);
  m_ends.erase(id);
}

// Ending a connection updates or removes its entry. One that is ended twice
// without that would be found again and again.
void ConnectionRegistry::EndExcess() {
  if (m_ending) {
    return;
  }
  m_ending = true;
  Id last = 0;
  while (const std::optional<Excess> excess = m_ledger.FindExcess()) {
    const auto found = m_ends.find(excess->id);
    if (found == m_ends.end() || excess->id == last) {
      break;
    }
    last = excess->id;
    m_on_ended(*excess);
    const EndConnection end = found->second;
    end(excess->limit);
  }
  m_ending = false;
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

}  // namespace coppervalve::net
