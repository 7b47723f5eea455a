#ifndef COPPERVALVE_TOOLS_LOAD_HTTP_EXCHANGE_H_
#define COPPERVALVE_TOOLS_LOAD_HTTP_EXCHANGE_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>       // milliseconds
#include <cstdint>      // uint8_t
#include <functional>   // function
#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // pair
#include <vector>       // vector

namespace coppervalve::load {

/// @brief How an exchange ended, as seen by the client.
enum class ExchangeResult : uint8_t {
  kComplete,        ///< the complete response was received
  kNotSent,         ///< no connection: nothing was sent
  kConnectionLost,  ///< sent at least in part, no complete response
  kTimedOut,        ///< like kConnectionLost, after a timeout
};

struct ExchangeCall {
  using OnBytes = std::function<void(std::string_view)>;

  std::string method = "GET";
  std::string address;  ///< "ip:port"
  std::string target;   ///< path and query
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Maximum time without data, before and during the response.
  std::chrono::milliseconds timeout{5'000};
  OnBytes on_bytes;  ///< called for each received part of the body
};

struct ExchangeReply {
  ExchangeResult result = ExchangeResult::kNotSent;
  unsigned status = 0;  ///< 0: no response header was received
  std::string content_type;
  std::string run_state;  ///< x-coppervalve-run-state
  std::string body;       ///< the part that was received
};

/// @brief Sends one request on a new connection.
boost::asio::awaitable<ExchangeReply> Exchange(ExchangeCall call);

/// @brief Like Exchange(), but blocking.
ExchangeReply ExchangeBlocking(ExchangeCall call);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_HTTP_EXCHANGE_H_
