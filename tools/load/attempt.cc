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

ExchangeCall CallOf(const ClassPlan& plan,
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
  call.timeout = plan.patience;
  return call;
}

AttemptEnd EndWith(Verdict verdict, std::string error_id) {
  AttemptEnd end;
  end.verdict = verdict;
  end.error_id = std::move(error_id);
  return end;
}

// An error reported by a router, in a response or as the last event of a
// stream.
AttemptEnd EndOfError(const json::object& error, bool after_tokens) {
  AttemptEnd end = EndWith(Verdict::kUnknown, TextOf(error, "id"));
  if (TextOf(error, "run_state") == kNotRun) {
    end.verdict = Verdict::kRefused;
  } else if (after_tokens) {
    end.verdict = Verdict::kCut;
  }
  const int64_t pause = NumberOf(error, "retry_after_ms", -1);
  if (pause >= 0) {
    end.retry_after = milliseconds(pause);
  }
  return end;
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

AttemptEnd EndOfStream(const ExchangeReply& reply,
                       const StreamText& stream,
                       Clock::time_point sent) {
  if (stream.error()) {
    return EndOfError(*stream.error(), true);
  }
  if (reply.end != ExchangeEnd::kWhole) {
    return EndWith(Verdict::kUnknown, "connection lost in the stream");
  }
  const auto id = WholeTextId(stream.text());
  if (!stream.closed() || !id) {
    return EndWith(Verdict::kWrong, "stream without its whole text");
  }
  AttemptEnd end = EndWith(Verdict::kWhole, {});
  end.request_id = *id;
  end.times = TimesOf(stream, sent);
  return end;
}

// The text of a completion that was not streamed.
std::string TextOfCompletion(const json::object& document) {
  const json::array* choices = ArrayOf(document, "choices");
  if (choices == nullptr || choices->empty() || !choices->at(0).is_object()) {
    return {};
  }
  const json::object* message =
      ObjectOf(choices->at(0).get_object(), "message");
  return message == nullptr ? std::string() : TextOf(*message, "content");
}

AttemptEnd EndOfCompletion(const json::object& document) {
  const auto id = WholeTextId(TextOfCompletion(document));
  if (!id || *id != TextOf(document, "id")) {
    return EndWith(Verdict::kWrong, "completion without its whole text");
  }
  AttemptEnd end = EndWith(Verdict::kWhole, {});
  end.request_id = *id;
  return end;
}

// The service stand-in answers with its record of the call.
AttemptEnd EndOfService(const json::object& document, const std::string& key) {
  if (TextOf(document, "key") != key) {
    return EndWith(Verdict::kWrong, "answer to another call");
  }
  AttemptEnd end = EndWith(Verdict::kWhole, {});
  end.request_id = TextOf(document, "request_id");
  return end;
}

AttemptEnd EndOfReply(const ClassPlan& plan,
                      const ExchangeReply& reply,
                      const std::string& key) {
  const auto parsed = ParseJson(reply.body);
  const json::object* document = parsed ? parsed->if_object() : nullptr;
  if (reply.status != kHttpOk) {
    const json::object* error =
        document == nullptr ? nullptr : ObjectOf(*document, "error");
    if (error == nullptr || reply.run_state.empty()) {
      return EndWith(Verdict::kUnknown,
                     "HTTP status " + std::to_string(reply.status));
    }
    AttemptEnd end = EndOfError(*error, false);
    end.retry_elsewhere = reply.status == kUnavailable;
    return end;
  }
  if (document == nullptr) {
    return EndWith(Verdict::kWrong, "answer is no JSON object");
  }
  return IsModelWork(plan) ? EndOfCompletion(*document)
                           : EndOfService(*document, key);
}

}  // namespace

asio::awaitable<AttemptEnd> Attempt(const ClassPlan& plan,
                                    std::string address,
                                    std::string key,
                                    std::string body) {
  ExchangeCall call = CallOf(plan, std::move(address), key, std::move(body));
  StreamText stream;
  if (plan.stream) {
    call.on_bytes = [&stream](std::string_view bytes) {
      stream.Feed(bytes, Clock::now());
    };
  }
  const Clock::time_point sent = Clock::now();
  const ExchangeReply reply = co_await Exchange(std::move(call));
  if (reply.end == ExchangeEnd::kNotSent) {
    co_return EndWith(Verdict::kNotSent, "no connection");
  }
  if (plan.stream && reply.content_type.starts_with(kEventStream)) {
    co_return EndOfStream(reply, stream, sent);
  }
  if (reply.end == ExchangeEnd::kSilent) {
    co_return EndWith(Verdict::kUnknown, "no answer in time");
  }
  if (reply.end == ExchangeEnd::kBroken) {
    co_return EndWith(Verdict::kUnknown, "connection lost");
  }
  co_return EndOfReply(plan, reply, key);
}

std::string BodyOf(const ClassPlan& plan, size_t number) {
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
