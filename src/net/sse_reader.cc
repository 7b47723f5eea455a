#include "coppervalve/net/sse_reader.h"

namespace coppervalve::net {

core::Status SseReader::Feed(std::string_view bytes, const OnEvent& on_event) {
  for (const char c : bytes) {
    m_line.push_back(c);
    // Without a limit, an engine that never ends its event would exhaust
    // memory.
    if (m_line.size() + m_event.raw.size() > m_max) {
      return core::Error{core::ErrorId::kUpstreamProtocol, "stream",
                         "an event exceeds the size limit"};
    }
    if (c != '\n') {
      continue;
    }
    core::Status status = EndLine(on_event);
    if (!core::IsOk(status)) {
      return status;
    }
  }
  return core::Ok();
}

core::Status SseReader::EndLine(const OnEvent& on_event) {
  std::string_view line = m_line;
  line.remove_suffix(1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  m_event.raw += m_line;
  if (line.starts_with("data:")) {
    line.remove_prefix(5);
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (!m_event.data.empty()) {
      m_event.data += '\n';
    }
    m_event.data += line;
    m_line.clear();
    return core::Ok();
  }
  const bool ended = line.empty();
  m_line.clear();
  if (!ended) {
    return core::Ok();
  }
  const SseEvent event = std::move(m_event);
  m_event = SseEvent();
  return on_event(event);
}

}  // namespace coppervalve::net
