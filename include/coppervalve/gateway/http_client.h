#ifndef COPPERVALVE_GATEWAY_HTTP_CLIENT_H_
#define COPPERVALVE_GATEWAY_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <deque>       // deque
#include <functional>  // function
#include <memory>      // shared_ptr, enable_shared_from_this
#include <string>      // string

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/call_timeouts.h"
#include "coppervalve/gateway/stream.h"
#include "coppervalve/http1/response_reader.h"

namespace coppervalve::gateway {

/// @brief One HTTP request to another process.
struct HttpCall {
  std::string method;
  std::string target;
  std::string content_type;  ///< empty: no Content-Type is sent
  std::string body;
  entry::CallTimeouts patience;
  /// Limit of the response's size, head included. Without it a response that
  /// never ends would be buffered without bound.
  size_t max_bytes = 8 * 1024 * 1024;
};

/// @brief The complete response to an HttpCall.
struct HttpReply {
  int status = 0;
  std::string body;
};

/// @brief HTTP client for one address: sends one request at a time on one
/// persistent connection.
///
/// A request that got no response may still be executed. Its connection is
/// closed, and the next request opens a new one.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Handler = std::function<void(const core::Result<HttpReply>&)>;

  /// @param address "ip:port"
  HttpClient(boost::asio::io_context& io, std::string address);

  /// @brief Queues a request.
  /// @param handler gets the reply, or kLogUnavailable if none came in time
  void Call(HttpCall call, Handler handler);

 private:
  struct Pending {
    HttpCall call;
    Handler handler;
  };
  void Next();
  void Connect();
  void SendCurrent();
  void OnBytes(std::string_view bytes);
  void OnEnd();
  void Finish(core::Result<HttpReply> result, bool keep_connection);
  core::TimePoint TimesOutAt() const;
  void ArmTimeout();

  boost::asio::io_context& m_io;
  std::string m_address;
  boost::asio::steady_timer m_timeout;
  std::shared_ptr<boost::asio::ip::tcp::socket> m_connecting;
  StreamRef m_stream;
  std::unique_ptr<http1::ResponseReader> m_reader;
  std::string m_unread;
  std::deque<Pending> m_queue;
  entry::CallProgress m_progress;  ///< of the current call
  size_t m_received = 0;           ///< bytes of the current response
  bool m_busy = false;
  uint64_t m_call_number = 0;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_HTTP_CLIENT_H_
