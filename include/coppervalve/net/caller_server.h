#ifndef COPPERVALVE_NET_CALLER_SERVER_H_
#define COPPERVALVE_NET_CALLER_SERVER_H_

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/net/answer.h"
#include "coppervalve/net/http_types.h"
#include "coppervalve/net/io_pool.h"

namespace coppervalve::net {

/// @brief Bounds of what a caller may send, and how slowly.
struct CallerLimits {
  size_t max_header_bytes = size_t{16} * 1024;
  size_t max_body_bytes = size_t{1024} * 1024;
  size_t max_connections = 8192;
  std::chrono::milliseconds header_timeout{10'000};  ///< for the whole header
  std::chrono::milliseconds body_timeout{30'000};    ///< for the whole body
  std::chrono::milliseconds idle_timeout{75'000};    ///< between two requests
  std::chrono::milliseconds write_timeout{30'000};   ///< without any progress
};

/// @brief A request that was taken in, and where its answer will be.
struct Exchange {
  core::RequestId request;
  std::shared_ptr<Answer> answer;
};

/// @brief What a server asks of whoever handles its requests. All are called
/// on the traffic thread that they are told.
struct CallerHooks {
  std::function<Exchange(size_t thread, HttpRequest request)> accept;
  /// The caller closed its connection before it had its whole answer.
  std::function<void(size_t thread, core::RequestId request)> gone;
  /// The caller has all it will get.
  std::function<void(size_t thread, core::RequestId request)> served;
  /// A request that was refused before it was whole.
  std::function<void(const core::Error& error)> rejected;
  /// Whether callers are to be told to connect elsewhere next time.
  std::function<bool()> draining;
};

/// @brief An HTTP/1.1 server on one port; its connections are spread over the
/// traffic threads.
class CallerServer {
 public:
  CallerServer(IoPool& pool, CallerHooks hooks, CallerLimits limits);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  ~CallerServer();

  /// @param address "ip:port"; port 0 picks a free one
  /// @return kSettingBadValue when it can't be listened on
  core::Status Listen(const std::string& address);
  /// @return the port in use; 0 before Listen()
  uint16_t port() const;

  /// @brief Takes no new connection; open ones end after the request in
  /// progress.
  void Close();
  /// @return connections that are still open
  size_t OpenConnections() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_CALLER_SERVER_H_
