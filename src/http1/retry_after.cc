#include "coppervalve/http1/retry_after.h"

#include <algorithm>     // max, min
#include <charconv>      // from_chars
#include <cmath>         // isfinite
#include <system_error>  // errc

namespace coppervalve::http1 {

namespace {

// Caps waits given in a wrong unit, which could exclude an upstream for a day.
// The upstream gets requests again after this time, and may send another
// Retry-After.
constexpr double kMaxSeconds = 300;
constexpr double kMicros = 1e6;

double ParseSeconds(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, seconds);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole && std::isfinite(seconds) ? seconds : 0;
}

}  // namespace

std::optional<core::Duration> ParseRetryAfter(const HeaderList& headers) {
  double longest = 0;
  for (const Header& header : headers) {
    if (EqualsIgnoreCase(header.name, "Retry-After")) {
      longest = std::max(longest, ParseSeconds(header.value));
    }
  }
  if (longest <= 0) {
    return std::nullopt;
  }
  return core::Duration(
      static_cast<int64_t>(std::min(longest, kMaxSeconds) * kMicros));
}

}  // namespace coppervalve::http1
