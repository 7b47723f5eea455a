#include "coppervalve/http1/retry_after.h"

#include <algorithm>     // max, min
#include <charconv>      // from_chars
#include <cmath>         // isfinite
#include <system_error>  // errc

namespace coppervalve::http1 {

namespace {

// A wait in the wrong unit must not lose an upstream for the day: it is asked
// again after this, and may say so again.
constexpr double kMostSeconds = 300;
constexpr double kMicros = 1e6;

double SecondsOf(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, seconds);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole && std::isfinite(seconds) ? seconds : 0;
}

}  // namespace

std::optional<core::Duration> RetryAfterOf(const HeaderList& headers) {
  double longest = 0;
  for (const Header& header : headers) {
    if (SameToken(header.name, "Retry-After")) {
      longest = std::max(longest, SecondsOf(header.value));
    }
  }
  if (longest <= 0) {
    return std::nullopt;
  }
  return core::Duration(
      static_cast<int64_t>(std::min(longest, kMostSeconds) * kMicros));
}

}  // namespace coppervalve::http1
