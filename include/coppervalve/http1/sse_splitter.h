#ifndef COPPERVALVE_HTTP1_SSE_SPLITTER_H_
#define COPPERVALVE_HTTP1_SSE_SPLITTER_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::http1 {

/// @brief Splits a stream of server-sent events at event boundaries. Lines end
/// with LF, CRLF or CR.
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
  /// @return number of bytes after the last complete event
  size_t buffered_bytes() const { return m_partial.size(); }
  /// @return bytes of memory that these take
  size_t held_bytes() const { return m_partial.capacity(); }
  /// @brief Whether an event has begun and not ended. Comments are no events.
  bool InsideEvent() const;
  /// @return the bytes after the last complete event, which are then discarded
  std::string TakePartialEvent();

 private:
  void EndLine(std::string_view line);

  std::string m_partial;
  size_t m_scanned = 0;     ///< bytes of m_partial that were searched
  size_t m_line_start = 0;  ///< in m_partial
  bool m_after_cr = false;  ///< an LF that follows belongs to the same line end
  bool m_has_field = false;  ///< the current event has a field
  std::string m_id;          ///< of the current event
  std::string m_last_id;
  uint64_t m_events = 0;
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_SSE_SPLITTER_H_
