#ifndef COPPERVALVE_NET_MODEL_JSON_H_
#define COPPERVALVE_NET_MODEL_JSON_H_

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief The fields of a caller's model request that the shell uses.
struct ModelRequest {
  std::string model;
  core::Tokens max_output_tokens;  ///< 0 = not given
  bool stream = false;
  bool wants_usage = false;  ///< stream_options.include_usage
  std::string prompt_prefix;
};

/// @brief The fields of an engine's JSON document that the shell uses.
struct ModelAnswer {
  bool has_choices = false;  ///< at least one choice
  bool has_error = false;
  std::optional<router::Usage> usage;
};

/// @brief Reads a chat or completion request.
/// @return kMalformedJson, or kBadRequest for a field that is missing, of a
/// wrong type or would allow more output than the limit
core::Result<ModelRequest> ReadModelRequest(std::string_view body);

/// @brief Sets the output limit in a request, and requests usage for streams.
/// @pre ReadModelRequest accepted the body
core::Result<std::string> CapModelRequest(std::string_view body,
                                          core::Tokens max_output_tokens);

/// @return kUpstreamProtocol when it is not a JSON object
core::Result<ModelAnswer> ReadModelAnswer(std::string_view json);

/// @return the phase in a RouterStatus document; empty when missing
std::string ReadPhase(std::string_view json);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_MODEL_JSON_H_
