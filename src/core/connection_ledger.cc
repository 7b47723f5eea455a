#include "coppervalve/core/connection_ledger.h"

#include <algorithm>  // max, min

namespace coppervalve::core {

namespace {

// A connection that holds no more than this is a small holder.
constexpr size_t kSmallHolder = 32'768;
// Sockets that are kept for upstreams, the store and other routers.
constexpr size_t kMinOwnSockets = 64;

}  // namespace

// The rest of the memory is for the process itself and for what the allocator
// can't reuse.
ConnectionLimits LimitsForProcess(size_t memory, size_t sockets) {
  ConnectionLimits limits;
  if (memory != 0) {
    limits.bytes = memory / 3;
  }
  if (sockets != 0) {
    const size_t own =
        std::max(sockets / 8, std::min(kMinOwnSockets, sockets / 2));
    limits.connections = sockets - own;
  }
  return limits;
}

std::string_view ToString(ConnectionStage stage) {
  switch (stage) {
    case ConnectionStage::kReceiving:
      return "receiving";
    case ConnectionStage::kBusy:
      return "busy";
    case ConnectionStage::kUnread:
      return "unread";
    case ConnectionStage::kClosing:
      return "closing";
    case ConnectionStage::kIdle:
      break;
  }
  return "idle";
}

std::string_view ToString(ConnectionLimit limit) {
  return limit == ConnectionLimit::kBytes ? "bytes" : "connections";
}

ConnectionLedger::Order& ConnectionLedger::OrderOf(ConnectionStage stage) {
  if (stage == ConnectionStage::kUnread) {
    return m_unread;
  }
  return stage == ConnectionStage::kClosing ? m_closing : m_inactive;
}

bool ConnectionLedger::IsInProgress(ConnectionStage stage) {
  return stage == ConnectionStage::kBusy || stage == ConnectionStage::kUnread;
}

void ConnectionLedger::Detach(Id id, const Entry& entry) {
  m_bytes -= entry.bytes;
  if (entry.stage != ConnectionStage::kBusy) {
    OrderOf(entry.stage).erase(entry.position);
  }
  if (IsInProgress(entry.stage)) {
    --m_busy;
    return;
  }
  m_holders.erase({entry.bytes, id});
}

void ConnectionLedger::Attach(Id id, Entry& entry) {
  m_bytes += entry.bytes;
  if (entry.stage != ConnectionStage::kBusy) {
    Order& order = OrderOf(entry.stage);
    entry.position = order.insert(order.end(), id);
  }
  if (IsInProgress(entry.stage)) {
    ++m_busy;
    return;
  }
  if (entry.bytes != 0) {
    m_holders.emplace(entry.bytes, id);
  }
}

ConnectionLedger::Id ConnectionLedger::Open() {
  const Id id = m_next++;
  Attach(id, m_entries[id]);
  return id;
}

void ConnectionLedger::Close(Id id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  Detach(id, found->second);
  m_entries.erase(found);
}

void ConnectionLedger::Update(Id id, ConnectionStage stage, size_t bytes) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end()) {
    return;
  }
  Entry& entry = found->second;
  Detach(id, entry);
  entry.stage = stage;
  entry.bytes = bytes;
  Attach(id, entry);
}

size_t ConnectionLedger::LimitFor(size_t bytes) const {
  return bytes > kSmallHolder ? m_limits.bytes / 4 * 3 : m_limits.bytes;
}

// A single request within the limits of a request is always accepted.
bool ConnectionLedger::IsSoleHolder(const Entry& entry) const {
  return m_bytes - entry.bytes <= kSmallHolder;
}

std::optional<ConnectionLedger::Excess> ConnectionLedger::Describe(
    Id id,
    ConnectionLimit limit) const {
  const Entry& entry = m_entries.at(id);
  return Excess{id, limit, entry.stage, entry.bytes};
}

std::optional<ConnectionLedger::Excess> ConnectionLedger::FindExcess() const {
  if (UsedConnections() > m_limits.connections) {
    for (const Order* order : {&m_closing, &m_inactive}) {
      if (!order->empty()) {
        return Describe(order->front(), ConnectionLimit::kConnections);
      }
    }
  }
  if (m_holders.empty()) {
    return std::nullopt;
  }
  // Of several that hold the most, the one that was opened first.
  const auto& [bytes, id] =
      *m_holders.lower_bound({m_holders.rbegin()->first, 0});
  if (m_bytes <= LimitFor(bytes) || IsSoleHolder(m_entries.at(id))) {
    return std::nullopt;
  }
  return Describe(id, ConnectionLimit::kBytes);
}

size_t ConnectionLedger::UsedConnections() const {
  return m_entries.size() + m_busy * (m_limits.connections_of_busy - 1);
}

bool ConnectionLedger::HasConnectionsForBusy() const {
  return m_busy <= 1 || m_busy * m_limits.connections_of_busy <=
                            m_limits.connections - m_limits.connections / 8;
}

std::optional<ConnectionLedger::Excess> ConnectionLedger::FindUnread() const {
  if (m_unread.empty()) {
    return std::nullopt;
  }
  return Describe(m_unread.front(), ConnectionLimit::kConnections);
}

bool ConnectionLedger::Admits(Id id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() || m_bytes <= LimitFor(found->second.bytes) ||
         IsSoleHolder(found->second);
}

}  // namespace coppervalve::core
