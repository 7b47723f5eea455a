#ifndef COPPERVALVE_NET_SSE_READER_H_
#define COPPERVALVE_NET_SSE_READER_H_

#include <cstddef>      // size_t
#include <functional>   // function
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"

namespace coppervalve::net {

/// @brief One server-sent event.
struct SseEvent {
  std::string raw;   ///< as received, including the final blank line
  std::string data;  ///< joined data lines; empty for comments
};

/// @brief Splits a byte stream into server-sent events.
class SseReader {
 public:
  using OnEvent = std::function<core::Status(const SseEvent&)>;

  /// @param max_event_bytes limit for the buffered part of an unfinished event
  explicit SseReader(size_t max_event_bytes) : m_max(max_event_bytes) {}

  /// @return kUpstreamProtocol for an event above the limit, or the error of
  /// `on_event`
  core::Status Feed(std::string_view bytes, const OnEvent& on_event);
  /// @return whether an event has begun and not ended
  bool HasPartial() const { return !m_event.raw.empty() || !m_line.empty(); }

 private:
  core::Status EndLine(const OnEvent& on_event);

  size_t m_max;
  std::string m_line;
  SseEvent m_event;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_SSE_READER_H_
