#include "coppervalve/logclient/backoff.h"

#include <algorithm>  // min
#include <utility>    // move

namespace coppervalve::logclient {

namespace {

// Maximum number of doublings: far above any useful bound, below overflow.
constexpr uint32_t kMaxDoublings = 20;

}  // namespace

Backoff::Backoff(BackoffOptions options, JitterHook jitter)
    : m_options(options), m_jitter(std::move(jitter)) {}

core::Duration Backoff::NextDelay() {
  const uint32_t doublings = std::min(m_failures, kMaxDoublings);
  ++m_failures;
  const core::Duration bound =
      std::min(m_options.longest, m_options.first * (int64_t{1} << doublings));
  // Without jitter all routers would retry at the same times after an outage
  // and overload the log again. Half of the bound is not randomized, so that
  // the delay still grows.
  const core::Duration half = bound / 2;
  const auto spread = static_cast<core::Duration::rep>(
      m_jitter() * static_cast<double>(half.count()));
  return half + core::Duration(spread);
}

}  // namespace coppervalve::logclient
