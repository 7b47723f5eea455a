#include "upstream_load.h"

#include <charconv>  // from_chars

namespace coppervalve::net {

std::optional<uint32_t> ReadNumber(std::string_view text) {
  uint32_t number = 0;
  const auto [end, failed] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = end == text.data() + text.size();
  if (failed != std::errc() || !whole || text.empty()) {
    return std::nullopt;
  }
  return number;
}

std::optional<router::UpstreamLoad> LoadOf(const HeaderList& headers) {
  const auto running = ReadNumber(HeaderValue(headers, "x-engine-running"));
  const auto queued = ReadNumber(HeaderValue(headers, "x-engine-queued"));
  if (!running && !queued) {
    return std::nullopt;
  }
  return router::UpstreamLoad{running.value_or(0), queued.value_or(0)};
}

}  // namespace coppervalve::net
