#ifndef COPPERVALVE_HTTP1_EVENT_CUTTER_H_
#define COPPERVALVE_HTTP1_EVENT_CUTTER_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::http1 {

/// @brief Cuts a stream of server-sent events at the ends of events.
///
/// What is passed on ends with a whole event, so that a stream that breaks
/// can be continued from another upstream without a torn or doubled event.
class EventCutter {
 public:
  /// @return the bytes of all events that are whole by now
  /// @complexity linear in the bytes
  std::string Feed(std::string_view bytes);

  uint64_t events() const { return m_events; }
  /// @return id of the last whole event; empty when none had one
  const std::string& last_id() const { return m_last_id; }
  size_t held_bytes() const { return m_tail.size(); }
  /// @return the bytes of the unfinished event, which are then forgotten
  std::string TakeTail();

 private:
  void Count(std::string_view events);

  std::string m_tail;
  std::string m_last_id;
  uint64_t m_events = 0;
};

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_EVENT_CUTTER_H_
