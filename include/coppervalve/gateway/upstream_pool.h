#ifndef COPPERVALVE_GATEWAY_UPSTREAM_POOL_H_
#define COPPERVALVE_GATEWAY_UPSTREAM_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>        // uint64_t
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/upstream_connection.h"

namespace coppervalve::gateway {

/// @brief Idle connections to upstreams. New connections are dear, and an old
/// one may be closing at the other end just when a request is sent.
class UpstreamPool {
 public:
  explicit UpstreamPool(boost::asio::io_context& io) : m_io(io) {}

  /// @param needs_fresh the request must not meet a connection that closes:
  /// only one that was used a moment ago, or a new one, is good enough
  UpstreamConnectionRef Acquire(const entry::Upstream& upstream,
                                bool needs_fresh,
                                core::TimePoint now);
  /// @brief Keeps a connection whose attempt ended whole, if it can be used
  /// again.
  void Release(const core::UpstreamId& upstream,
               const UpstreamConnectionRef& connection,
               core::TimePoint now);
  /// @brief Closes connections that were idle for long. Call it now and then.
  void CloseExpired(core::TimePoint now);
  /// @brief Closes those to an upstream that takes no new work.
  void CloseAll(const core::UpstreamId& upstream);

  uint64_t opened() const { return m_opened; }

 private:
  struct Idle {
    UpstreamConnectionRef connection;
    core::TimePoint since;
    core::TimePoint usable_until;
    core::Duration keep_time{};  ///< by the upstream, as it stated or usual
  };
  boost::asio::io_context& m_io;
  std::unordered_map<core::UpstreamId, std::vector<Idle>> m_idle;
  uint64_t m_opened = 0;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UPSTREAM_POOL_H_
