#ifndef COPPERVALVE_HTTP1_SSE_SPLITTER_H_
#define COPPERVALVE_HTTP1_SSE_SPLITTER_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::http1 {

/// @brief Splits a stream of server-sent events at event boundaries.
///
/// Only complete events are forwarded, so that an interrupted stream can be
/// resumed from another upstream without a truncated or duplicated event.
class SseSplitter {
 public:
  /// @return the bytes of all events that are complete by now
  /// @complexity linear in the number of bytes
  std::string Feed(std::string_view bytes);

  uint64_t events() const { return m_events; }
  /// @return id of the last complete event that has one; empty if none had one
  const std::string& last_id() const { return m_last_id; }
  size_t buffered_bytes() const { return m_partial.size(); }
  /// @return the bytes of the incomplete event, which are then discarded
  std::string TakePartialEvent();

 private:
  void CountEvents(std::string_view events);

  std::string m_partial;
  std::string m_last_id;
  uint64_t m_events = 0;
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_SSE_SPLITTER_H_
