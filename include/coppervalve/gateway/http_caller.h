#ifndef COPPERVALVE_GATEWAY_HTTP_CALLER_H_
#define COPPERVALVE_GATEWAY_HTTP_CALLER_H_

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

/// @brief One call of another program.
struct HttpCall {
  std::string method;
  std::string target;
  std::string content_type;  ///< empty = no body type is sent
  std::string body;
  entry::CallTimeouts patience;
  /// Of the answer: one that says it is longer, or never ends, is not kept.
  size_t most_bytes = 8 * 1024 * 1024;
};

/// @brief Its whole answer.
struct HttpReply {
  int status = 0;
  std::string body;
};

/// @brief Calls one address, one call at a time, on one kept connection.
///
/// A call that got no answer leaves its connection unusable, and what it asked
/// for may still be done: the next call opens a new one.
class HttpCaller : public std::enable_shared_from_this<HttpCaller> {
 public:
  using Handler = std::function<void(const core::Result<HttpReply>&)>;

  /// @param address "ip:port"
  HttpCaller(boost::asio::io_context& io, std::string address);

  /// @brief Queues a call. @return through the handler: the reply, or
  /// kLogUnavailable when none came in time
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
  entry::CallProgress m_progress;  ///< of the call that is made
  size_t m_received = 0;           ///< bytes of its answer
  bool m_busy = false;
  uint64_t m_call_number = 0;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_HTTP_CALLER_H_
