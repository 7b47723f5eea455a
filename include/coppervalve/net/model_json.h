#ifndef COPPERVALVE_NET_MODEL_JSON_H_
#define COPPERVALVE_NET_MODEL_JSON_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief What the shell must know of a caller's model request.
struct ModelRequest {
  std::string model;
  core::Tokens max_output_tokens;  ///< 0 = not given
  bool stream = false;
  bool wants_usage = false;  ///< stream_options.include_usage
  std::string prompt_prefix;
};

/// @brief What an engine's JSON document says.
struct ModelAnswer {
  bool has_choices = false;  ///< at least one choice
  bool has_error = false;
  std::optional<router::Usage> usage;
};

/// @brief Reads a chat or completion request.
/// @return kMalformedJson, or kBadRequest for a field that is missing, of a
/// wrong type or would multiply the output past its bound
core::Result<ModelRequest> ReadModelRequest(std::string_view body);

/// @brief Writes the output cap into a request and asks streams for usage.
/// @pre ReadModelRequest accepted the body
core::Result<std::string> CapModelRequest(std::string_view body,
                                          core::Tokens max_output_tokens);

/// @return kUpstreamProtocol when it is not a JSON object
core::Result<ModelAnswer> ReadModelAnswer(std::string_view json);

/// @return the phase that a RouterStatus document names; empty when none
std::string ReadPhase(std::string_view json);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_MODEL_JSON_H_
