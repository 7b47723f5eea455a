#ifndef COPPERVALVE_GATEWAY_CALLER_CONNECTION_H_
#define COPPERVALVE_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // shared_ptr, enable_shared_from_this
#include <optional>    // optional
#include <string>      // string

#include "coppervalve/core/connection_ledger.h"
#include "coppervalve/core/error.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/configuration.h"
#include "coppervalve/gateway/stream.h"
#include "coppervalve/http1/header_list.h"
#include "coppervalve/http1/request_reader.h"
#include "coppervalve/net/connection_registry.h"

namespace coppervalve::gateway {

class CallerConnection;
using CallerRef = std::shared_ptr<CallerConnection>;

/// @brief A complete request of a caller.
struct CallerRequest {
  http1::RequestHead head;
  std::string body;
  core::TimePoint arrived;  ///< when the last byte was received
};

/// @brief A complete response that the router generates itself.
struct LocalResponse {
  int status = 200;
  std::string reason = "OK";
  http1::HeaderList headers;
  std::string body;
};

/// @brief Steps at the end of the time that a drain may take.
enum class DrainEnd {
  kAnswer,  ///< requests without a response get a final one
  kCut,     ///< responses that have begun end incomplete
};

/// @brief Server side of one HTTP/1.1 connection of a caller. Handles one
/// request at a time. Each request that was read ends either with a complete
/// response or with a reset of the connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  struct Hooks {
    std::function<void(const CallerRef&, CallerRequest)> on_request;
    /// A malformed, too large or too slow request is about to be rejected.
    std::function<void(const core::Error&)> on_bad_request;
    std::function<entry::CallerBounds()> bounds;
    /// Whether the router is draining: connections are closed after the
    /// current response.
    std::function<bool()> leaving;
    std::function<void()> on_closed;
    /// Of the connections of all listeners.
    std::shared_ptr<net::ConnectionRegistry> registry;
    /// Whether requests may wait and use connections of their own.
    bool requests_wait = false;
  };

  CallerConnection(boost::asio::io_context& io,
                   boost::asio::ip::tcp::socket socket,
                   std::shared_ptr<const Hooks> hooks);
  void Start();

  /// @return whether the caller has closed the connection
  bool HasDisconnected() { return m_closed || m_stream->PeerHasClosed(); }
  /// @brief Sets a handler that is called once if the caller disconnects before
  /// the response is complete.
  void SetDisconnectHandler(std::function<void()> on_disconnect);
  /// @brief Sets a handler that is called when the kernel has taken all bytes
  /// sent so far.
  void SetDrainedHandler(std::function<void()> on_drained);
  /// @brief Sets a handler that ends the request because the process ends.
  void SetDrainEndHandler(std::function<void(DrainEnd)> on_drain_end);

  void Respond(const LocalResponse& response);
  /// @brief Starts a response.
  /// @param headers without framing headers
  /// @param length of the body; none: chunked transfer encoding
  void BeginResponse(int status,
                     const std::string& reason,
                     const http1::HeaderList& headers,
                     std::optional<uint64_t> length);
  void SendBody(std::string_view bytes);
  /// @brief Records what the response in progress holds until it may be sent.
  void SetBuffered(size_t bytes);
  /// @brief Completes the response; the connection reads the next request.
  void EndResponse();
  /// @brief Resets the connection, so that the caller can't take the response
  /// for complete.
  void Abort();
  /// @brief Closes the connection after what was sent of an incomplete
  /// response.
  void Cut();

  size_t unsent() const { return m_stream->unsent(); }
  /// @return number of unsent bytes beyond which nothing more should be sent
  size_t max_unsent() const;
  /// @brief Whether all connections together leave room for what this one
  /// holds.
  bool HasRoom() const;
  /// @return whether a request is in progress or waits to be parsed, or a
  /// response is still being sent
  bool busy() const;
  /// @brief Closes the connection unless a request is in progress.
  void CloseIfIdle();
  /// @brief Ends the request in progress because the process ends.
  void EndRequest(DrainEnd step);

 private:
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void OnDrained();
  void UpdateEntry();
  core::ConnectionStage Stage() const;
  size_t HeldBytes() const;
  void EndForLimit(core::ConnectionLimit limit);
  bool HasUnreadResponses() const;
  void Parse();
  bool ParseRequest();
  bool FindRoom();
  void Reject(const core::Error& error);
  void NextRequest();
  void ArmTimer(core::Duration time);
  void OnTimer();
  void Close();

  boost::asio::io_context& m_io;
  boost::asio::steady_timer m_timer;
  StreamRef m_stream;
  std::shared_ptr<const Hooks> m_hooks;
  std::shared_ptr<net::ConnectionRegistry::Entry> m_entry;
  std::unique_ptr<http1::RequestReader> m_reader;
  std::string m_unread;
  size_t m_buffered = 0;    ///< bytes of a response that may not be sent yet
  std::string m_head_text;  ///< response head that was not sent yet
  std::function<void()> m_on_disconnect;
  std::function<void()> m_on_drained;
  std::function<void(DrainEnd)> m_on_drain_end;
  size_t m_request_bytes = 0;  ///< what the request in progress holds
  bool m_busy = false;
  bool m_parsing = false;  ///< within Parse()
  bool m_chunked = false;
  bool m_keep_alive = true;
  bool m_head_request = false;
  bool m_continue_sent = false;
  bool m_closed = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_CALLER_CONNECTION_H_
