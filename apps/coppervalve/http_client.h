#ifndef COPPERVALVE_APPS_COPPERVALVE_HTTP_CLIENT_H_
#define COPPERVALVE_APPS_COPPERVALVE_HTTP_CLIENT_H_

#include <chrono>   // milliseconds
#include <cstdint>  // uint8_t
#include <string>   // string

#include "coppervalve/core/result.h"

namespace coppervalve::cli {

enum class HttpMethod : uint8_t { kGet, kPost };

struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string address;  ///< "ip:port"
  std::string target;   ///< path and query
  std::string body;
  std::string bearer_token;  ///< not sent when empty
  std::chrono::milliseconds timeout{5'000};
};

struct HttpReply {
  unsigned status = 0;
  std::string body;
};

/// @brief Sends one request on a new connection; blocks until the complete
/// answer has arrived or the timeout has expired.
/// @error kOperatorUsage when the address is not ip:port,
/// kOperatorUnreachable otherwise; the request may have taken effect
core::Result<HttpReply> Send(const HttpCall& call);

/// @return the text percent-encoded for use in a request target
std::string PercentEncode(const std::string& text);

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_HTTP_CLIENT_H_
