#include "coppervalve/http1/sse_splitter.h"

#include <utility>  // exchange, move

namespace coppervalve::http1 {

namespace {

constexpr std::string_view kIdField = "id:";
constexpr char kComment = ':';

std::string_view FieldValue(std::string_view line) {
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

bool IsField(std::string_view line) {
  return !line.empty() && line.front() != kComment;
}

}  // namespace

std::string SseSplitter::Feed(std::string_view bytes) {
  m_partial.append(bytes);
  size_t end = 0;  // of the last complete event
  for (;;) {
    const size_t at = m_partial.find_first_of("\r\n", m_scanned);
    if (at == std::string::npos) {
      m_after_cr = m_after_cr && m_scanned == m_partial.size();
      m_scanned = m_partial.size();
      break;
    }
    const bool second_half =
        m_after_cr && at == m_line_start && m_partial[at] == '\n';
    const std::string_view line =
        std::string_view(m_partial).substr(m_line_start, at - m_line_start);
    m_scanned = at + 1;
    m_line_start = at + 1;
    m_after_cr = m_partial[at] == '\r';
    if (second_half) {
      end = end == at ? at + 1 : end;
      continue;
    }
    EndLine(line);
    end = line.empty() ? at + 1 : end;
  }
  if (end == 0) {
    return {};
  }
  std::string whole = m_partial.substr(0, end);
  // Assigning a short rest would keep the memory.
  std::string rest = m_partial.substr(end);
  m_partial.swap(rest);
  m_scanned -= end;
  m_line_start -= end;
  return whole;
}

bool SseSplitter::InsideEvent() const {
  return m_has_field ||
         IsField(std::string_view(m_partial).substr(m_line_start));
}

std::string SseSplitter::TakePartialEvent() {
  m_scanned = 0;
  m_line_start = 0;
  m_after_cr = false;
  m_has_field = false;
  m_id.clear();
  return std::exchange(m_partial, {});
}

void SseSplitter::EndLine(std::string_view line) {
  if (!line.empty()) {
    m_has_field = m_has_field || IsField(line);
    if (line.starts_with(kIdField)) {
      m_id = FieldValue(line);
    }
    return;
  }
  m_events += m_has_field ? 1 : 0;
  m_has_field = false;
  if (!m_id.empty()) {
    m_last_id = std::move(m_id);
    m_id.clear();
  }
}

}  // namespace coppervalve::http1
