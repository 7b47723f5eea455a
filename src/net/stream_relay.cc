#include "coppervalve/net/stream_relay.h"

#include <utility>  // move

#include "coppervalve/net/model_json.h"

namespace coppervalve::net {

namespace {

constexpr size_t kMaxEventBytes = size_t{256} * 1024;
constexpr std::string_view kClosingData = "[DONE]";

// Only events with usage or an error are parsed; the others hold only tokens.
bool MayCarryUsageOrError(std::string_view data) {
  return data.find("\"usage\"") != std::string_view::npos ||
         data.find("\"error\"") != std::string_view::npos;
}

}  // namespace

StreamRelay::StreamRelay(std::shared_ptr<Answer> answer,
                         HttpHead head,
                         bool relay_usage)
    : m_answer(std::move(answer)),
      m_head(std::move(head)),
      m_relay_usage(relay_usage),
      m_reader(kMaxEventBytes) {}

core::Status StreamRelay::Feed(std::string_view bytes) {
  return m_reader.Feed(
      bytes, [this](const SseEvent& event) { return OnEvent(event); });
}

core::Status StreamRelay::Finish() {
  if (m_closing.empty() || m_reader.HasPartial()) {
    return core::Error{core::ErrorId::kAnswerCut, "stream",
                       "ended before its closing event"};
  }
  // Callers treat the closing event as the end of a complete answer, so it is
  // relayed only after the engine's message has ended.
  Relay(m_closing);
  m_answer->Finish();
  return core::Ok();
}

core::Status StreamRelay::OnEvent(const SseEvent& event) {
  if (!m_closing.empty()) {
    return core::Error{core::ErrorId::kUpstreamProtocol, "stream",
                       "events after the closing event"};
  }
  if (event.data.empty()) {
    return core::Ok();
  }
  if (event.data == kClosingData) {
    m_closing = event.raw;
    return core::Ok();
  }
  ModelAnswer parsed;
  parsed.has_choices = true;
  if (MayCarryUsageOrError(event.data)) {
    core::Result<ModelAnswer> result = ReadModelAnswer(event.data);
    if (!core::IsOk(result)) {
      return core::Failure(result);
    }
    parsed = core::TakeValue(std::move(result));
  }
  if (parsed.has_error) {
    return core::Error{core::ErrorId::kUpstreamFailed, "stream",
                       "the engine reported an error"};
  }
  if (parsed.usage) {
    m_usage = parsed.usage;
  }
  if (parsed.has_choices) {
    m_output_seen += core::Tokens(1);
  }
  if (parsed.has_choices || m_relay_usage) {
    Relay(event.raw);
  }
  return core::Ok();
}

void StreamRelay::Relay(std::string_view raw) {
  m_answer->Start(m_head, true);
  m_answer->Append(raw);
  m_relayed += core::Bytes(static_cast<int64_t>(raw.size()));
}

}  // namespace coppervalve::net
