#include "coppervalve/gateway/upstream_pool.h"

#include <algorithm>  // max

namespace coppervalve::gateway {

namespace {

// Used if the upstream does not state its idle timeout.
constexpr core::Duration kDefaultKeepAlive{4'000'000};
// Connections are closed this much before the upstream's idle timeout, which is
// in whole seconds and starts at the last byte that the upstream sent.
constexpr core::Duration kKeepAliveMargin{700'000};
constexpr core::Duration kMinIdleTime{300'000};
// The upstream may close an idle connection while a request is sent; a request
// that must not be retried is lost then. The first half of the idle
// timeout is far enough from its end.
constexpr int kFreshDivisor = 2;

}  // namespace

UpstreamConnectionRef UpstreamPool::Acquire(const entry::Upstream& upstream,
                                            bool needs_fresh,
                                            core::TimePoint now) {
  std::vector<Idle>& idle = m_idle[upstream.entry.id];
  while (!idle.empty()) {
    // The most recently used connection is the least likely to be closing.
    const Idle last = idle.back();
    if (needs_fresh && now - last.since > last.keep_time / kFreshDivisor) {
      break;
    }
    idle.pop_back();
    if (last.connection->reusable() && now < last.usable_until) {
      return last.connection;
    }
    last.connection->Close();
  }
  ++m_opened;
  return std::make_shared<UpstreamConnection>(m_dialer, upstream.entry.address);
}

UpstreamConnectionRef UpstreamPool::OpenThrough(
    const std::string& relay,
    const core::UpstreamId& upstream) {
  ++m_opened;
  ++m_relayed;
  return std::make_shared<UpstreamConnection>(m_dialer, relay, upstream);
}

void UpstreamPool::Release(const core::UpstreamId& upstream,
                           const UpstreamConnectionRef& connection,
                           core::TimePoint now) {
  if (!connection->reusable()) {
    return;
  }
  core::Duration keep = connection->keep_alive();
  if (keep == core::Duration::zero()) {
    keep = kDefaultKeepAlive;
  }
  m_idle[upstream].push_back(
      {connection, now, now + std::max(keep - kKeepAliveMargin, kMinIdleTime),
       keep, nullptr});
  if (m_registry) {
    Register(upstream, connection);
  }
}

// Adding an entry may end idle connections, this one as well.
void UpstreamPool::Register(const core::UpstreamId& upstream,
                            const UpstreamConnectionRef& connection) {
  auto entry = m_registry->Add(
      [this, upstream, connection = connection.get()](core::ConnectionLimit) {
        Remove(upstream, *connection);
      },
      [] { return false; });
  for (Idle& one : m_idle[upstream]) {
    if (one.connection == connection) {
      one.entry = std::move(entry);
      return;
    }
  }
}

void UpstreamPool::Remove(const core::UpstreamId& upstream,
                          const UpstreamConnection& connection) {
  std::erase_if(m_idle[upstream], [&connection](const Idle& one) {
    const bool found = one.connection.get() == &connection;
    if (found) {
      one.connection->Close();
    }
    return found;
  });
}

void UpstreamPool::CloseExpired(core::TimePoint now) {
  for (auto& [upstream, idle] : m_idle) {
    std::erase_if(idle, [now](const Idle& one) {
      const bool old = !one.connection->reusable() || now >= one.usable_until;
      if (old) {
        one.connection->Close();
      }
      return old;
    });
  }
}

void UpstreamPool::CloseAll(const core::UpstreamId& upstream) {
  const auto found = m_idle.find(upstream);
  if (found == m_idle.end()) {
    return;
  }
  for (const Idle& one : found->second) {
    one.connection->Close();
  }
  m_idle.erase(found);
}

}  // namespace coppervalve::gateway
