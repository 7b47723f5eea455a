#include "coppervalve/net/model_json.h"

#include <boost/json.hpp>

namespace coppervalve::net {

namespace {

namespace json = boost::json;

// Length of the prompt prefix that is used for affinity: requests with the same
// prefix go to the engine that has it cached.
constexpr size_t kPrefixBytes = 512;
// Deeper than any real request; limits the parser's stack.
constexpr size_t kMaxDepth = 32;

core::Error BadRequest(std::string field, std::string detail) {
  return {core::ErrorId::kBadRequest, std::move(field), std::move(detail)};
}

std::optional<json::value> Parse(std::string_view text) {
  json::parse_options options;
  options.max_depth = kMaxDepth;
  boost::system::error_code error;
  json::value value = json::parse(json::string_view(text.data(), text.size()),
                                  error, {}, options);
  if (error) {
    return std::nullopt;
  }
  return value;
}

std::optional<int64_t> Integer(const json::value& value) {
  boost::system::error_code error;
  const auto number = value.to_number<int64_t>(error);
  if (error || !(value.is_int64() || value.is_uint64())) {
    return std::nullopt;
  }
  return number;
}

void AppendPrefix(std::string& prefix, std::string_view text) {
  prefix.append(text.substr(0, kPrefixBytes - prefix.size()));
}

void AppendContent(std::string& prefix, const json::value& content) {
  if (const json::string* text = content.if_string()) {
    AppendPrefix(prefix, std::string_view(text->data(), text->size()));
    return;
  }
  if (const json::array* parts = content.if_array()) {
    for (const json::value& part : *parts) {
      const json::object* fields = part.if_object();
      const json::value* text = fields ? fields->if_contains("text") : nullptr;
      if (text && text->is_string()) {
        AppendContent(prefix, *text);
      }
    }
  }
}

core::Status ReadPrompt(const json::object& body, std::string& prefix) {
  if (const json::value* prompt = body.if_contains("prompt")) {
    const json::array* list = prompt->if_array();
    if (!prompt->is_string() && !list) {
      return BadRequest("prompt", "must be a string or one list of token ids");
    }
    // Each prompt of a request produces output up to the limit, which would
    // exceed the reservation for one output.
    if (list && list->size() > 1 && !list->front().is_number()) {
      return BadRequest("prompt", "only one prompt per request is supported");
    }
    AppendContent(prefix, *prompt);
    return core::Ok();
  }
  const json::value* messages = body.if_contains("messages");
  if (!messages || !messages->is_array()) {
    return BadRequest("messages", "a list of messages or a prompt is required");
  }
  for (const json::value& message : messages->get_array()) {
    const json::object* fields = message.if_object();
    if (!fields) {
      return BadRequest("messages", "each must be an object");
    }
    if (const json::value* content = fields->if_contains("content")) {
      AppendContent(prefix, *content);
    }
  }
  return core::Ok();
}

core::Status ReadOutputCap(const json::object& body, core::Tokens& cap) {
  for (const char* field : {"max_tokens", "max_completion_tokens"}) {
    const json::value* value = body.if_contains(field);
    if (!value || value->is_null()) {
      continue;
    }
    const auto number = Integer(*value);
    if (!number || *number < 1) {
      return BadRequest(field, "must be a whole number of at least 1");
    }
    cap = core::Tokens(*number);
  }
  // As with several prompts, each additional choice would exceed the
  // reservation.
  for (const char* field : {"n", "best_of"}) {
    const json::value* value = body.if_contains(field);
    if (value && !value->is_null() && Integer(*value) != 1) {
      return BadRequest(field, "only 1 is supported");
    }
  }
  return core::Ok();
}

core::Status ReadStream(const json::object& body, ModelRequest& request) {
  const json::value* stream = body.if_contains("stream");
  if (!stream || stream->is_null()) {
    return core::Ok();
  }
  if (!stream->is_bool()) {
    return BadRequest("stream", "must be true or false");
  }
  request.stream = stream->get_bool();
  const json::value* options = body.if_contains("stream_options");
  if (options && options->is_object()) {
    const json::value* usage =
        options->get_object().if_contains("include_usage");
    request.wants_usage = usage && usage->is_bool() && usage->get_bool();
  }
  return core::Ok();
}

std::optional<router::Usage> ReadUsage(const json::object& body) {
  const json::value* usage = body.if_contains("usage");
  if (!usage || !usage->is_object()) {
    return std::nullopt;
  }
  const json::object& fields = usage->get_object();
  const json::value* prompt = fields.if_contains("prompt_tokens");
  const json::value* output = fields.if_contains("completion_tokens");
  const auto prompt_tokens = prompt ? Integer(*prompt) : std::nullopt;
  const auto output_tokens = output ? Integer(*output) : std::nullopt;
  // A negative count would credit tokens to the budget.
  if (prompt_tokens.value_or(-1) < 0 || output_tokens.value_or(-1) < 0) {
    return std::nullopt;
  }
  return router::Usage{core::Tokens(*prompt_tokens),
                       core::Tokens(*output_tokens)};
}

}  // namespace

core::Result<ModelRequest> ReadModelRequest(std::string_view body) {
  const auto document = Parse(body);
  if (!document || !document->is_object()) {
    return core::Error{core::ErrorId::kMalformedJson, "body",
                       "not a JSON object"};
  }
  const json::object& fields = document->get_object();
  const json::value* model = fields.if_contains("model");
  if (!model || !model->is_string() || model->get_string().empty()) {
    return BadRequest("model", "must be a non-empty string");
  }
  ModelRequest request;
  request.model = std::string(model->get_string());
  for (const core::Status& status :
       {ReadPrompt(fields, request.prompt_prefix),
        ReadOutputCap(fields, request.max_output_tokens),
        ReadStream(fields, request)}) {
    if (!core::IsOk(status)) {
      return core::Failure(status);
    }
  }
  return request;
}

core::Result<std::string> CapModelRequest(std::string_view body,
                                          core::Tokens max_output_tokens) {
  auto document = Parse(body);
  if (!document || !document->is_object()) {
    return core::Error{core::ErrorId::kMalformedJson, "body",
                       "not a JSON object"};
  }
  json::object& fields = document->get_object();
  fields["max_tokens"] = max_output_tokens.value();
  if (fields.contains("max_completion_tokens")) {
    fields["max_completion_tokens"] = max_output_tokens.value();
  }
  const json::value* stream = fields.if_contains("stream");
  if (stream && stream->is_bool() && stream->get_bool()) {
    json::value& options = fields["stream_options"];
    if (!options.is_object()) {
      options = json::object();
    }
    options.get_object()["include_usage"] = true;
  }
  return json::serialize(*document);
}

core::Result<ModelAnswer> ReadModelAnswer(std::string_view text) {
  const auto document = Parse(text);
  if (!document || !document->is_object()) {
    return core::Error{core::ErrorId::kUpstreamProtocol, "answer",
                       "not a JSON object"};
  }
  const json::object& fields = document->get_object();
  ModelAnswer answer;
  const json::value* choices = fields.if_contains("choices");
  answer.has_choices =
      choices && choices->is_array() && !choices->get_array().empty();
  const json::value* error = fields.if_contains("error");
  answer.has_error = error && !error->is_null();
  answer.usage = ReadUsage(fields);
  return answer;
}

std::string ReadPhase(std::string_view text) {
  const auto document = Parse(text);
  if (!document || !document->is_object()) {
    return {};
  }
  const json::value* phase = document->get_object().if_contains("phase");
  return phase && phase->is_string() ? std::string(phase->get_string())
                                     : std::string();
}

}  // namespace coppervalve::net
