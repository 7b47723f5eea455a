#ifndef COPPERVALVE_GATEWAY_UPSTREAM_POOL_H_
#define COPPERVALVE_GATEWAY_UPSTREAM_POOL_H_

#include <cstdint>        // uint64_t
#include <memory>         // shared_ptr
#include <unordered_map>  // unordered_map
#include <utility>        // move
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/upstream_connection.h"
#include "coppervalve/net/connection_registry.h"

namespace coppervalve::gateway {

/// @brief Pool of idle connections to upstreams. Opening a connection is
/// expensive, but the upstream may close an idle one while a request is sent.
class UpstreamPool {
 public:
  /// @param dialer outlives the pool
  explicit UpstreamPool(const Dialer& dialer) : m_dialer(dialer) {}

  /// @brief Lets idle connections count as connections of the process, which
  /// may end them.
  void SetRegistry(std::shared_ptr<net::ConnectionRegistry> registry) {
    m_registry = std::move(registry);
  }

  /// @param needs_fresh the request must not be lost to a closing connection:
  /// reuse only a connection that was used recently
  /// @return an idle connection, or a new one that is not open yet
  UpstreamConnectionRef Acquire(const entry::Upstream& upstream,
                                bool needs_fresh,
                                core::TimePoint now);
  /// @return a new connection through another router, which is not open yet
  UpstreamConnectionRef OpenThrough(const std::string& relay,
                                    const core::UpstreamId& upstream);
  /// @brief Returns a connection after a complete response; it is kept if it
  /// can be reused.
  void Release(const core::UpstreamId& upstream,
               const UpstreamConnectionRef& connection,
               core::TimePoint now);
  /// @brief Closes connections that exceeded their idle time. Call it
  /// periodically.
  void CloseExpired(core::TimePoint now);
  /// @brief Closes all idle connections to an upstream that takes no new work.
  void CloseAll(const core::UpstreamId& upstream);

  uint64_t opened() const { return m_opened; }
  /// @return connections through other routers, among those opened
  uint64_t relayed() const { return m_relayed; }

 private:
  struct Idle {
    UpstreamConnectionRef connection;
    core::TimePoint since;
    core::TimePoint usable_until;
    core::Duration keep_time{};  ///< idle timeout of the upstream
    std::shared_ptr<net::ConnectionRegistry::Entry> entry;
  };
  void Register(const core::UpstreamId& upstream,
                const UpstreamConnectionRef& connection);
  void Remove(const core::UpstreamId& upstream,
              const UpstreamConnection& connection);

  const Dialer& m_dialer;
  std::shared_ptr<net::ConnectionRegistry> m_registry;
  std::unordered_map<core::UpstreamId, std::vector<Idle>> m_idle;
  uint64_t m_opened = 0;
  uint64_t m_relayed = 0;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UPSTREAM_POOL_H_
