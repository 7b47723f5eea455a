#ifndef COPPERVALVE_NET_STREAM_RELAY_H_
#define COPPERVALVE_NET_STREAM_RELAY_H_

#include <memory>       // shared_ptr
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/net/answer.h"
#include "coppervalve/net/sse_reader.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief Relays an engine's token stream into an answer, event by event, and
/// detects a truncated stream.
class StreamRelay {
 public:
  /// @param relay_usage the caller requested the usage event
  StreamRelay(std::shared_ptr<Answer> answer, HttpHead head, bool relay_usage);

  /// @return kUpstreamProtocol or kUpstreamFailed; the stream must not be used
  /// afterwards
  core::Status Feed(std::string_view bytes);
  /// @brief Handles the end of the message (final chunk or full length).
  /// @return kAnswerCut if the closing event is missing; on success the answer
  /// is finished
  core::Status Finish();

  core::Tokens output_seen() const { return m_output_seen; }
  core::Bytes relayed() const { return m_relayed; }
  const std::optional<router::Usage>& usage() const { return m_usage; }

 private:
  core::Status OnEvent(const SseEvent& event);
  void Relay(std::string_view raw);

  std::shared_ptr<Answer> m_answer;
  HttpHead m_head;
  bool m_relay_usage;
  SseReader m_reader;
  std::string m_closing;  // the closing event, delayed until the final chunk
  core::Tokens m_output_seen;
  core::Bytes m_relayed;
  std::optional<router::Usage> m_usage;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_STREAM_RELAY_H_
