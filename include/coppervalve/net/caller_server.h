#ifndef COPPERVALVE_NET_CALLER_SERVER_H_
#define COPPERVALVE_NET_CALLER_SERVER_H_

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "coppervalve/core/connection_ledger.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/net/answer.h"
#include "coppervalve/net/http_types.h"
#include "coppervalve/net/io_pool.h"

namespace coppervalve::net {

/// @brief Size limits and timeouts for caller connections.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{1024} * 1024;
  /// For all connections of a port together.
  size_t max_held_bytes = size_t{64} * 1024 * 1024;
  size_t max_connections = 8192;
  std::chrono::milliseconds header_timeout{10'000};  ///< for the whole header
  std::chrono::milliseconds body_timeout{30'000};    ///< for the whole body
  std::chrono::milliseconds idle_timeout{75'000};    ///< between two requests
  std::chrono::milliseconds write_timeout{30'000};   ///< without any progress
};

/// @brief An accepted request and the object that receives its answer.
struct Exchange {
  core::RequestId request;
  std::shared_ptr<Answer> answer;
};

/// @brief Callbacks that handle the requests of a server. Those with a `thread`
/// parameter are called on the traffic thread of that index.
struct CallerHooks {
  std::function<Exchange(size_t thread, HttpRequest request)> accept;
  /// The caller closed its connection before it received the complete answer.
  std::function<void(size_t thread, core::RequestId request)> disconnected;
  /// Everything that the caller will receive has been sent.
  std::function<void(size_t thread, core::RequestId request)> answered;
  /// A request was rejected before it was received completely.
  std::function<void(const core::Error& error)> rejected;
  /// While true, answers carry "Connection: close", so that callers connect
  /// to another router for their next request.
  std::function<bool()> draining;
  /// A connection was ended because all of the port exceed a limit. Called on
  /// any thread.
  std::function<void(const core::ConnectionLedger::Excess&)> ended;
};

/// @brief An HTTP/1.1 server on one port; its connections are distributed over
/// the traffic threads.
class CallerServer {
 public:
  CallerServer(IoPool& pool, CallerHooks hooks, CallerLimits limits);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  ~CallerServer();

  /// @param address "ip:port"; port 0 picks a free one
  /// @return kSettingBadValue if the address can't ever be listened on,
  /// kAddressUnavailable if not now; Listen() may be called again then
  core::Status Listen(const std::string& address);
  /// @return the port in use; 0 before Listen()
  uint16_t port() const;

  /// @brief Stops accepting; open connections close after the request in
  /// progress.
  void Close();
  /// @return number of open connections
  size_t OpenConnections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CALLER_SERVER_H_
