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

/// @brief A whole HTTP request.
struct HttpRequest {
  std::string method;
  std::string path;  ///< without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
  std::string client;  ///< "ip:port"

  /// @return the header's value, empty when absent; the name in lower case
  std::string Header(const std::string& name) const;
  /// @return the query parameter as a number, `fallback` when absent or no
  /// number
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

/// @brief One request's way back. Copies refer to the same exchange; calls
/// after its end, or after the client has gone, do nothing.
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(std::weak_ptr<HttpSession> session, uint64_t serial);

  /// @brief Answers whole.
  void Send(const HttpResponse& response);
  /// @brief Begins a streamed answer; the body of `head` is ignored.
  void StartStream(const HttpResponse& head);
  /// @brief Sends one piece of a streamed answer.
  void Write(std::string_view piece);
  /// @brief Ends a streamed answer properly.
  void Finish();
  /// @brief Closes the connection after what was written, without a proper end.
  void Cut();
  /// @brief Calls the hook once if the client closes before the answer's end.
  void OnClientGone(std::function<void()> hook);

 private:
  std::weak_ptr<HttpSession> m_session;
  uint64_t m_serial = 0;
};

/// @brief Takes a request; answers now or later through the exchange, or never
/// (the connection then stays open and silent).
using HttpHandler = std::function<void(const HttpRequest&, HttpExchange)>;

/// @brief HTTP/1.1 server on the loop's thread.
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
