#ifndef COPPERVALVE_GATEWAY_PLATFORM_ADAPTER_H_
#define COPPERVALVE_GATEWAY_PLATFORM_ADAPTER_H_

#include <cstdint>     // uint8_t
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/admission.h"
#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/caller_connection.h"
#include "coppervalve/http1/request_reader.h"
#include "coppervalve/http1/response_reader.h"

namespace coppervalve::gateway {

/// @brief Information that the router adds to a request it forwards to an
/// upstream.
struct UpstreamRequestContext {
  core::Duration time_left{};  ///< until the complete response is due
  core::UpstreamId upstream;
  core::AccountId account;  ///< empty on a public route
  bool has_accounts = false;
  uint8_t priority = 0;
  /// Id of the last event received; empty = from the start.
  std::string resume_after;
};

/// @brief Information in the response headers of an upstream.
struct UpstreamResponseInfo {
  std::string request_id;  ///< as echoed; empty if it was not
  bool not_run = false;
  bool misdirected = false;  ///< the address now belongs to another upstream
  bool genuine = true;       ///< may be forwarded as a success
  bool leaving = false;      ///< the upstream accepts no new requests
  /// The upstream was too busy to run the request and accepts no further ones
  /// for this long.
  std::optional<core::Duration> retry_after;
  /// Requests per second that the upstream accepts from all routers together.
  std::optional<double> limit;
  /// Rejections per second, of requests of all routers together, above which
  /// the upstream fails.
  std::optional<double> max_rejections;
  /// The response declares a limit that cannot be parsed.
  bool limit_malformed = false;
  /// Names of headers that the adapter does not interpret.
  std::vector<std::string> unknown_headers;
};

/// @brief Translates requests, responses and documents between the platform's
/// formats and the router's types. It is stateless and makes no decisions.
struct PlatformAdapter {
  std::function<core::Result<entry::RequestFacts>(const http1::RequestHead&)>
      read_request;
  /// All headers of the request to an upstream, except those for framing.
  std::function<http1::HeaderList(const http1::RequestHead&,
                                  const UpstreamRequestContext&)>
      upstream_headers;
  std::function<UpstreamResponseInfo(const http1::ResponseHead&)> read_answer;
  /// The response for an error that the router itself reports.
  std::function<LocalResponse(const core::Error&,
                              std::optional<core::Duration>)>
      refusal;
  /// The response to a query for router addresses; no addresses = none known.
  std::function<LocalResponse(const http1::RequestHead&,
                              const std::vector<std::string>&,
                              core::Duration lifetime)>
      addresses;
  std::function<LocalResponse(const http1::RequestHead&, bool ready)> readiness;
  std::function<core::Result<entry::Configuration>(const std::string& document)>
      read_configuration;
  std::function<core::Result<entry::UpstreamEntry>(const std::string& key,
                                                   const std::string& document)>
      read_upstream;
  /// Whether the later document of an upstream only renews the earlier one,
  /// without a change. If unset, every document is parsed.
  std::function<bool(const std::string& earlier, const std::string& later)>
      upstream_unchanged;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_PLATFORM_ADAPTER_H_
