#ifndef COPPERVALVE_STANDIN_HTTP_SERVER_H_
#define COPPERVALVE_STANDIN_HTTP_SERVER_H_

#include <cstdint>      // uint64_t
#include <functional>   // function
#include <map>          // map
#include <memory>       // unique_ptr, weak_ptr
#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // pair
#include <vector>       // vector

#include "coppervalve/core/result.h"
#include "coppervalve/standin/address.h"
#include "coppervalve/standin/event_loop.h"

namespace coppervalve::standin {

/// @brief A complete HTTP request.
struct HttpRequest {
  std::string method;
  std::string path;  ///< without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
  std::string client;  ///< "ip:port"

  /// @param name in lower case
  /// @return the header's value, empty when absent
  std::string Header(const std::string& name) const;
  /// @return the query parameter as a number, `fallback` when it is absent or
  /// not a number
  uint64_t QueryNumber(const std::string& name, uint64_t fallback) const;
};

/// @brief An HTTP response, or the head of a streamed one.
struct HttpResponse {
  unsigned status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

class HttpSession;

/// @brief Sends the response to one request. Copies refer to the same exchange.
/// Calls after the end of the exchange or after the client has disconnected do
/// nothing.
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(std::weak_ptr<HttpSession> session, uint64_t serial);

  /// @brief Sends a complete response.
  void Send(const HttpResponse& response);
  /// @brief Starts a streamed response; the body of `head` is ignored.
  void StartStream(const HttpResponse& head);
  /// @brief Sends one chunk of a streamed response.
  void Write(std::string_view piece);
  /// @brief Ends a streamed response with the terminating chunk.
  void Finish();
  /// @brief Closes the connection after the data written so far, without
  /// completing the response.
  void Abort();
  /// @brief Calls the hook once if the client disconnects before the response
  /// ends.
  void OnClientDisconnected(std::function<void()> hook);

 private:
  std::weak_ptr<HttpSession> m_session;
  uint64_t m_serial = 0;
};

/// @brief Handles a request. It may respond through the exchange immediately,
/// later or never; without a response the connection stays open.
using HttpHandler = std::function<void(const HttpRequest&, HttpExchange)>;

/// @brief HTTP/1.1 server that runs on the event loop.
class HttpServer {
 public:
  HttpServer(EventLoop& loop, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Starts to accept connections.
  /// @return kSettingBadValue when the address cannot be bound
  core::Status Listen(const Address& address);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_HTTP_SERVER_H_
