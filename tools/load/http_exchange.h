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

/// @brief How an exchange ended, as its client can tell.
enum class ExchangeEnd : uint8_t {
  kWhole,    ///< the whole message came
  kNotSent,  ///< no connection: nothing was sent
  kBroken,   ///< sent at least in part, and no whole message came
  kSilent,   ///< as kBroken, by timeout
};

struct ExchangeCall {
  using OnBytes = std::function<void(std::string_view)>;

  std::string method = "GET";
  std::string address;  ///< "ip:port"
  std::string target;   ///< path and query
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Longest silence before and within the answer.
  std::chrono::milliseconds timeout{5'000};
  OnBytes on_bytes;  ///< sees each piece of the body as it comes
};

struct ExchangeReply {
  ExchangeEnd end = ExchangeEnd::kNotSent;
  unsigned status = 0;  ///< 0: no head came
  std::string content_type;
  std::string run_state;  ///< x-coppervalve-run-state
  std::string body;       ///< what came of it
};

/// @brief One request on a connection of its own.
boost::asio::awaitable<ExchangeReply> Exchange(ExchangeCall call);

/// @brief As Exchange(), blocking.
ExchangeReply ExchangeNow(ExchangeCall call);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_HTTP_EXCHANGE_H_
