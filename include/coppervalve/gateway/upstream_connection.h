#ifndef COPPERVALVE_GATEWAY_UPSTREAM_CONNECTION_H_
#define COPPERVALVE_GATEWAY_UPSTREAM_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>      // size_t
#include <cstdint>      // uint8_t, uint64_t
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/gateway/connect_attempt.h"
#include "coppervalve/gateway/relay_tunnel.h"
#include "coppervalve/gateway/stream.h"
#include "coppervalve/http1/response_reader.h"

namespace coppervalve::gateway {

/// @brief How an attempt on a connection ended.
enum class AttemptEnd : uint8_t {
  kComplete,  ///< the complete response was received
  kNotSent,   ///< the kernel took no byte of the request
  kBroken,    ///< bytes were sent, but no complete response was received
  kWithheld,  ///< may_send returned false; no byte was sent
};

/// @brief One HTTP/1.1 connection to an upstream; carries one request at a
/// time.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  struct Handlers {
    std::function<void(const http1::ResponseHead&)> on_head;
    std::function<void(const std::string& body)> on_body;
    /// Last call of an attempt. @param why reason of a failure, for logs
    std::function<void(AttemptEnd end, std::string_view why)> on_end;
    /// Called when a new connection is open, before the first byte is sent;
    /// null: always send.
    std::function<bool()> may_send = {};
    /// Whether a response that is not complete may hold this many bytes here,
    /// in addition to the body; null: always.
    std::function<bool(size_t bytes)> may_hold = {};
  };

  /// @brief A connection to an address.
  /// @param dialer outlives the connection
  UpstreamConnection(const Dialer& dialer, std::string address);
  /// @brief A connection through another router. It carries one request only,
  /// since the other router may leave.
  /// @param relay "ip:port" of the other router
  UpstreamConnection(const Dialer& dialer,
                     std::string relay,
                     core::UpstreamId upstream);

  /// @brief Sends a request, after opening the connection if necessary.
  /// @param without_body the response has no body (HEAD request)
  void Send(std::string request, bool without_body, Handlers handlers);
  /// @brief Aborts the attempt: no handler is called any more, and the
  /// connection is reset.
  void Cancel();

  void PauseReading();
  void ResumeReading();

  /// @return whether an idle connection may carry another request
  bool reusable() const { return m_reusable && m_stream && m_stream->open(); }
  /// @return whether the connection was opened, so that a request is sent
  /// immediately
  bool connected() const { return m_open; }
  /// @return how opening the connection through another router ended; none:
  /// not yet, or it is opened directly
  std::optional<RelayResult> relay_result() const { return m_relay_result; }
  bool sent_any() const;
  /// @return the upstream's idle timeout for connections; zero: unknown
  core::Duration keep_alive() const { return m_keep_alive; }
  /// @brief Closes an idle connection.
  void Close();

 private:
  void Connect();
  void OnConnected(boost::asio::ip::tcp::socket socket);
  void OpenTunnel();
  void OnRelayResult(RelayResult result);
  void OnOpen();
  bool IsRelayed() const { return m_relayed_to.has_value(); }
  void OnBytes(std::string_view bytes);
  core::Status Parse(std::string_view bytes);
  bool MayHoldUnfinished() const;
  void OnEnd(StreamEnd end);
  bool EndsTooEarly();
  void Deliver();
  void Finish(AttemptEnd end, std::string_view why);

  const Dialer& m_dialer;
  std::string m_address;  ///< of the upstream, or of the other router
  std::optional<core::UpstreamId> m_relayed_to;
  std::optional<RelayResult> m_relay_result;
  std::shared_ptr<ConnectAttempt> m_connecting;
  std::shared_ptr<RelayTunnel> m_tunnel;
  boost::asio::steady_timer m_open_timer;  ///< of the tunnel
  StreamRef m_stream;
  std::string m_request;
  std::string m_unread;
  std::unique_ptr<http1::ResponseReader> m_reader;
  /// Shared, because a running handler may cancel the attempt.
  std::shared_ptr<const Handlers> m_handlers;
  core::Duration m_keep_alive{};
  uint64_t m_sent_before = 0;
  bool m_open = false;  ///< the upstream can be sent a request
  bool m_active = false;
  bool m_head_delivered = false;
  bool m_reusable = false;
};

using UpstreamConnectionRef = std::shared_ptr<UpstreamConnection>;

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_UPSTREAM_CONNECTION_H_
