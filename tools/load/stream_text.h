#ifndef COPPERVALVE_TOOLS_LOAD_STREAM_TEXT_H_
#define COPPERVALVE_TOOLS_LOAD_STREAM_TEXT_H_

#include <boost/json/object.hpp>
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "tools/load/clock.h"

namespace coppervalve::load {

/// @brief Parses the events of a streamed completion as they arrive.
class StreamText {
 public:
  void Feed(std::string_view bytes, Clock::time_point now);

  /// @return the text received so far
  const std::string& text() const { return m_text; }
  /// @return arrival time of each token
  const std::vector<Clock::time_point>& token_times() const {
    return m_token_times;
  }
  /// @return whether the final event was received, with nothing after it
  bool closed() const { return m_closed && !m_malformed; }
  /// @return the error event that ended the stream, if any
  const std::optional<boost::json::object>& error() const { return m_error; }

 private:
  void ParseLine(std::string_view line, Clock::time_point now);
  void ParseEvent(const boost::json::object& document, Clock::time_point now);

  std::string m_partial;
  std::string m_text;
  std::vector<Clock::time_point> m_token_times;
  std::optional<boost::json::object> m_error;
  bool m_closed = false;
  bool m_malformed = false;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_STREAM_TEXT_H_
