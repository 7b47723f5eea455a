#include "coppervalve/http1/sse_splitter.h"

#include <algorithm>  // max
#include <utility>    // exchange

namespace coppervalve::http1 {

namespace {

constexpr std::string_view kIdField = "id:";

// @return the position after the last blank line; 0 if there is none
size_t EndOfLastEvent(std::string_view text) {
  size_t end = 0;
  const size_t plain = text.rfind("\n\n");
  if (plain != std::string_view::npos) {
    end = plain + 2;
  }
  const size_t with_returns = text.rfind("\r\n\r\n");
  if (with_returns != std::string_view::npos) {
    end = std::max(end, with_returns + 4);
  }
  return end;
}

std::string_view FieldValue(std::string_view line) {
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  m_partial.append(bytes);
  const size_t end = EndOfLastEvent(m_partial);
  if (end == 0) {
    return {};
  }
  std::string whole = m_partial.substr(0, end);
  m_partial.erase(0, end);
  CountEvents(whole);
  return whole;
}

std::string SseSplitter::TakePartialEvent() {
  return std::exchange(m_partial, {});
}

void SseSplitter::CountEvents(std::string_view events) {
  bool in_event = false;
  while (!events.empty()) {
    const size_t newline = events.find('\n');
    std::string_view line = events.substr(0, newline);
    events.remove_prefix(newline + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (line.empty()) {
      m_events += in_event ? 1 : 0;
      in_event = false;
      continue;
    }
    in_event = true;
    if (line.starts_with(kIdField)) {
      m_last_id = FieldValue(line);
    }
  }
}

}  // namespace coppervalve::http1
