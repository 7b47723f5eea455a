#ifndef COPPERVALVE_HTTP1_SSE_SPLITTER_H_
#define COPPERVALVE_HTTP1_SSE_SPLITTER_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::http1 {

/// @brief Cuts a stream of server-sent events at the ends of events.
///
/// What is passed on ends with a whole event, so that a stream that breaks
/// can be continued from another upstream without a torn or doubled event.
class SseSplitter {
 public:
  /// @return the bytes of all events that are whole by now
  /// @complexity linear in the bytes
  std::string Feed(std::string_view bytes);

  uint64_t events() const { return m_events; }
  /// @return id of the last whole event; empty when none had one
  const std::string& last_id() const { return m_last_id; }
  size_t buffered_bytes() const { return m_partial.size(); }
  /// @return the bytes of the unfinished event, which are then forgotten
  std::string TakePartialEvent();

 private:
  void CountEvents(std::string_view events);

  std::string m_partial;
  std::string m_last_id;
  uint64_t m_events = 0;
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_SSE_SPLITTER_H_
