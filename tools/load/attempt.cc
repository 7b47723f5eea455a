#include "tools/load/attempt.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>  // move

#include "tools/load/answer_check.h"
#include "tools/load/http_exchange.h"
#include "tools/load/json.h"
#include "tools/load/stream_text.h"

namespace coppervalve::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kNotRun = "not_run";

bool IsModelWork(const ClassPlan& plan) {
  return !plan.model.empty();
}

ExchangeCall MakeCall(const ClassPlan& plan,
                      std::string address,
                      const std::string& key,
                      std::string body) {
  ExchangeCall call;
  call.method = plan.method;
  call.address = std::move(address);
  call.target = IsModelWork(plan) ? "/v1/chat/completions"
                                  : "/v1/services/" + plan.service + plan.path;
  call.headers = {{"Authorization", "Bearer " + plan.api_key},
                  {"Idempotency-Key", key},
                  {"Content-Type", "application/json"}};
  call.body = std::move(body);
  call.timeout = plan.request_timeout;
  return call;
}

AttemptResult MakeResult(Verdict verdict, std::string error_id) {
  AttemptResult result;
  result.verdict = verdict;
  result.error_id = std::move(error_id);
  return result;
}

// An error reported by a router, in a response or as the last event of a
// stream.
AttemptResult ResultOfError(const json::object& error, bool after_tokens) {
  AttemptResult result =
      MakeResult(Verdict::kUnknown, StringMember(error, "id"));
  if (StringMember(error, "run_state") == kNotRun) {
    result.verdict = Verdict::kRefused;
  } else if (after_tokens) {
    result.verdict = Verdict::kCut;
  }
  const int64_t pause = NumberMember(error, "retry_after_ms", -1);
  if (pause >= 0) {
    result.retry_after = milliseconds(pause);
  }
  return result;
}

AnswerTimes TimesOf(const StreamText& stream, Clock::time_point sent) {
  AnswerTimes times;
  const auto& tokens = stream.token_times();
  for (size_t i = 1; i < tokens.size(); ++i) {
    times.gaps_ms.push_back(MillisBetween(tokens[i - 1], tokens[i]));
  }
  if (!tokens.empty()) {
    times.first_token_ms = MillisBetween(sent, tokens.front());
  }
  return times;
}

AttemptResult ResultOfStream(const ExchangeReply& reply,
                             const StreamText& stream,
                             Clock::time_point sent) {
  if (stream.error()) {
    return ResultOfError(*stream.error(), true);
  }
  if (reply.result != ExchangeResult::kComplete) {
    return MakeResult(Verdict::kUnknown, "connection lost in the stream");
  }
  const auto id = RequestIdOfCompleteText(stream.text());
  if (!stream.closed() || !id) {
    return MakeResult(Verdict::kWrong, "stream without its whole text");
  }
  AttemptResult result = MakeResult(Verdict::kWhole, {});
  result.request_id = *id;
  result.times = TimesOf(stream, sent);
  return result;
}

// The text of a completion that was not streamed.
std::string CompletionText(const json::object& document) {
  const json::array* choices = ArrayMember(document, "choices");
  if (choices == nullptr || choices->empty() || !choices->at(0).is_object()) {
    return {};
  }
  const json::object* message =
      ObjectMember(choices->at(0).get_object(), "message");
  return message == nullptr ? std::string() : StringMember(*message, "content");
}

AttemptResult ResultOfCompletion(const json::object& document) {
  const auto id = RequestIdOfCompleteText(CompletionText(document));
  if (!id || *id != StringMember(document, "id")) {
    return MakeResult(Verdict::kWrong, "completion without its whole text");
  }
  AttemptResult result = MakeResult(Verdict::kWhole, {});
  result.request_id = *id;
  return result;
}

// The service stand-in answers with its record of the call.
AttemptResult ResultOfServiceCall(const json::object& document,
                                  const std::string& key) {
  if (StringMember(document, "key") != key) {
    return MakeResult(Verdict::kWrong, "answer to another call");
  }
  AttemptResult result = MakeResult(Verdict::kWhole, {});
  result.request_id = StringMember(document, "request_id");
  return result;
}

AttemptResult ResultOfReply(const ClassPlan& plan,
                            const ExchangeReply& reply,
                            const std::string& key) {
  const auto parsed = ParseJson(reply.body);
  const json::object* document = parsed ? parsed->if_object() : nullptr;
  if (reply.status != kHttpOk) {
    const json::object* error =
        document == nullptr ? nullptr : ObjectMember(*document, "error");
    if (error == nullptr || reply.run_state.empty()) {
      return MakeResult(Verdict::kUnknown,
                        "HTTP status " + std::to_string(reply.status));
    }
    AttemptResult result = ResultOfError(*error, false);
    result.retry_elsewhere = reply.status == kUnavailable;
    return result;
  }
  if (document == nullptr) {
    return MakeResult(Verdict::kWrong, "answer is no JSON object");
  }
  return IsModelWork(plan) ? ResultOfCompletion(*document)
                           : ResultOfServiceCall(*document, key);
}

}  // namespace

asio::awaitable<AttemptResult> RunAttempt(const ClassPlan& plan,
                                          std::string address,
                                          std::string key,
                                          std::string body) {
  ExchangeCall call = MakeCall(plan, std::move(address), key, std::move(body));
  StreamText stream;
  if (plan.stream) {
    call.on_bytes = [&stream](std::string_view bytes) {
      stream.Feed(bytes, Clock::now());
    };
  }
  const Clock::time_point sent = Clock::now();
  const ExchangeReply reply = co_await Exchange(std::move(call));
  if (reply.result == ExchangeResult::kNotSent) {
    co_return MakeResult(Verdict::kNotSent, "no connection");
  }
  if (plan.stream && reply.content_type.starts_with(kEventStream)) {
    co_return ResultOfStream(reply, stream, sent);
  }
  if (reply.result == ExchangeResult::kTimedOut) {
    co_return MakeResult(Verdict::kUnknown, "no answer in time");
  }
  if (reply.result == ExchangeResult::kConnectionLost) {
    co_return MakeResult(Verdict::kUnknown, "connection lost");
  }
  co_return ResultOfReply(plan, reply, key);
}

std::string MakeBody(const ClassPlan& plan, size_t number) {
  if (!IsModelWork(plan)) {
    return plan.method == "GET"
               ? std::string()
               : json::serialize(json::object{{"item", number}});
  }
  std::string prompt = plan.name + " " + std::to_string(number) + " ";
  prompt.resize(plan.prompt_bytes, '.');
  const json::object message{{"role", "user"}, {"content", prompt}};
  return json::serialize(json::object{{"model", plan.model},
                                      {"messages", json::array{message}},
                                      {"max_tokens", plan.max_tokens.value()},
                                      {"stream", plan.stream}});
}

}  // namespace coppervalve::load
