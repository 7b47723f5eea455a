#include "standins/engine/completion_format.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>  // int64_t
#include <utility>  // move

#include "coppervalve/standin/json.h"

namespace coppervalve::standin {

namespace {

namespace json = boost::json;

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr int64_t kDefaultMaxTokens = 16;
constexpr const char* kFinishReason = "length";

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

// The content of a message is a string or a list of parts that
// each have a text.
std::string ContentText(const json::object& message) {
  const json::value* content = message.if_contains("content");
  if (content == nullptr || !content->is_array()) {
    return StringMember(message, "content");
  }
  std::string text;
  for (const json::value& part : content->get_array()) {
    if (part.is_object()) {
      text += StringMember(part.get_object(), "text");
    }
  }
  return text;
}

std::string ChatPrompt(const json::object& body) {
  const json::value* messages = body.if_contains("messages");
  std::string prompt;
  if (messages == nullptr || !messages->is_array()) {
    return prompt;
  }
  for (const json::value& message : messages->get_array()) {
    if (message.is_object()) {
      prompt += ContentText(message.get_object());
    }
  }
  return prompt;
}

int64_t MaxTokens(const json::object& body) {
  const int64_t max_tokens =
      NumberMember(body, "max_tokens", kDefaultMaxTokens);
  return NumberMember(body, "max_completion_tokens", max_tokens);
}

json::object Head(const CompletionRequest& request,
                  std::string_view request_id,
                  const char* object) {
  return {{"id", View(request_id)},
          {"object", object},
          {"model", View(request.model)}};
}

json::object UsageObject(const CompletionUsage& usage) {
  return {{"prompt_tokens", usage.prompt.value()},
          {"completion_tokens", usage.output.value()},
          {"total_tokens", (usage.prompt + usage.output).value()}};
}

std::string Event(const json::object& data) {
  return "data: " + json::serialize(data) + "\n\n";
}

const char* ChunkObject(const CompletionRequest& request) {
  return request.chat ? "chat.completion.chunk" : "text_completion";
}

}  // namespace

core::Result<CompletionRequest> ParseCompletion(std::string_view path,
                                                std::string_view body) {
  const auto parsed = ParseObject(body);
  if (!core::IsOk(parsed)) {
    return core::Failure(parsed);
  }
  const json::object& object = core::Value(parsed);
  CompletionRequest request;
  request.chat = path == kChatPath;
  request.stream = BoolMember(object, "stream", false);
  request.model = StringMember(object, "model");
  request.prompt =
      request.chat ? ChatPrompt(object) : StringMember(object, "prompt");
  request.max_tokens = core::Tokens(MaxTokens(object));
  if (request.max_tokens < core::Tokens(1)) {
    return core::Error{core::ErrorId::kBadRequest, "max_tokens", "below 1"};
  }
  return request;
}

std::string TokenEvent(const CompletionRequest& request,
                       std::string_view request_id,
                       std::string_view text,
                       bool last) {
  json::object choice{{"index", 0}};
  if (request.chat) {
    choice["delta"] = json::object{{"content", View(text)}};
  } else {
    choice["text"] = View(text);
  }
  choice["finish_reason"] = last ? json::value(kFinishReason) : json::value();
  json::object data = Head(request, request_id, ChunkObject(request));
  data["choices"] = json::array{std::move(choice)};
  return Event(data);
}

std::string FinalEvents(const CompletionRequest& request,
                        std::string_view request_id,
                        const CompletionUsage& usage) {
  json::object data = Head(request, request_id, ChunkObject(request));
  data["choices"] = json::array{};
  data["usage"] = UsageObject(usage);
  return Event(data) + "data: [DONE]\n\n";
}

std::string CompletionBody(const CompletionRequest& request,
                           std::string_view request_id,
                           std::string_view text,
                           const CompletionUsage& usage) {
  json::object choice{{"index", 0}, {"finish_reason", kFinishReason}};
  if (request.chat) {
    choice["message"] =
        json::object{{"role", "assistant"}, {"content", View(text)}};
  } else {
    choice["text"] = View(text);
  }
  json::object body =
      Head(request, request_id,
           request.chat ? "chat.completion" : "text_completion");
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = UsageObject(usage);
  return json::serialize(body);
}

}  // namespace coppervalve::standin
