#include "tools/load/stream_text.h"

#include <boost/json/array.hpp>

#include "tools/load/json.h"

namespace coppervalve::load {

namespace {

constexpr std::string_view kData = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";

}  // namespace

void StreamText::Feed(std::string_view bytes, Clock::time_point now) {
  m_partial.append(bytes);
  size_t start = 0;
  while (true) {
    const size_t end = m_partial.find('\n', start);
    if (end == std::string::npos) {
      break;
    }
    ParseLine(std::string_view(m_partial).substr(start, end - start), now);
    start = end + 1;
  }
  m_partial.erase(0, start);
}

void StreamText::ParseLine(std::string_view line, Clock::time_point now) {
  if (!line.starts_with(kData)) {
    return;
  }
  line.remove_prefix(kData.size());
  if (m_closed) {
    m_malformed = true;
    return;
  }
  if (line == kDoneMarker) {
    m_closed = true;
    return;
  }
  const auto document = ParseJson(line);
  if (!document || !document->is_object()) {
    m_malformed = true;
    return;
  }
  ParseEvent(document->get_object(), now);
}

void StreamText::ParseEvent(const boost::json::object& document,
                            Clock::time_point now) {
  if (const auto* error = ObjectMember(document, "error")) {
    m_error = *error;
    return;
  }
  const auto* choices = ArrayMember(document, "choices");
  if (choices == nullptr || choices->empty() || !choices->at(0).is_object()) {
    return;
  }
  const auto* delta = ObjectMember(choices->at(0).get_object(), "delta");
  if (delta == nullptr) {
    return;
  }
  m_text += StringMember(*delta, "content");
  m_token_times.push_back(now);
}

}  // namespace coppervalve::load
