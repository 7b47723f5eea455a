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

/// @brief What an upstream is told beside the caller's own request.
struct UpstreamRequestContext {
  core::Duration time_left{};  ///< until the final answer is due
  core::UpstreamId upstream;
  core::AccountId account;  ///< empty on a public route
  bool has_accounts = false;
  uint8_t priority = 0;
  std::string resume_after;  ///< empty: from the start
};

/// @brief What an upstream's answer says about itself.
struct UpstreamResponseInfo {
  std::string request_id;  ///< echoed; empty when it wasn't
  bool not_run = false;
  bool misdirected = false;  ///< the address belongs to another one now
  bool genuine = true;       ///< may be passed on as a success
  bool leaving = false;      ///< the upstream takes no new work
  /// The upstream, too busy for this request, wants no other for so long.
  std::optional<core::Duration> retry_after;
  /// Requests a second that the upstream takes from all routers together.
  std::optional<double> limit;
  /// It named a limit that can't be read.
  bool limit_malformed = false;
  /// Headers that the adapter does not know.
  std::vector<std::string> unknown;
};

/// @brief How requests, answers and documents are put where the router runs.
/// All of it translates; none of it decides or remembers.
struct PlatformAdapter {
  std::function<core::Result<entry::RequestFacts>(const http1::RequestHead&)>
      read_request;
  /// All headers of the request to an upstream but the framing.
  std::function<http1::HeaderList(const http1::RequestHead&,
                                  const UpstreamRequestContext&)>
      upstream_headers;
  std::function<UpstreamResponseInfo(const http1::ResponseHead&)> read_answer;
  /// A refusal or failure of the router's own.
  std::function<LocalAnswer(const core::Error&, std::optional<core::Duration>)>
      refusal;
  /// The answer to "where to connect"; no addresses = not known.
  std::function<LocalAnswer(const http1::RequestHead&,
                            const std::vector<std::string>&,
                            core::Duration lifetime)>
      addresses;
  std::function<LocalAnswer(const http1::RequestHead&, bool ready)> readiness;
  std::function<core::Result<entry::Configuration>(const std::string& document)>
      read_configuration;
  std::function<core::Result<entry::UpstreamEntry>(const std::string& key,
                                                   const std::string& document)>
      read_upstream;
  /// Whether the later document of an upstream says no more than the earlier
  /// one but that it still lives; none: not to be told without reading both.
  std::function<bool(const std::string& earlier, const std::string& later)>
      upstream_unchanged;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_PLATFORM_ADAPTER_H_
