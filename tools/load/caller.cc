#include "tools/load/caller.h"

#include <chrono>   // milliseconds
#include <utility>  // move

#include "tools/load/attempt.h"
#include "tools/load/pause.h"

namespace coppervalve::load {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kNoAddressPause{200};
constexpr milliseconds kMinRetryPause{20};

}  // namespace

Caller::Caller(const ClassPlan& plan,
               AddressList addresses,
               std::function<uint64_t()> random)
    : m_plan(plan),
      m_addresses(std::move(addresses)),
      m_random(std::move(random)) {}

asio::awaitable<Outcome> Caller::Send(size_t number) {
  Outcome outcome;
  const std::string body = MakeBody(m_plan, number);
  const Clock::time_point start = Clock::now();
  const Clock::time_point deadline = start + m_plan.request_timeout;
  for (size_t attempt = 0; attempt < m_plan.max_attempts; ++attempt) {
    const auto address = co_await m_addresses.AddressFor(attempt);
    if (!address) {
      co_await PauseFor(kNoAddressPause);
      continue;
    }
    if (outcome.key.empty()) {
      outcome.key = MakeKey(address->key_prefix);
    }
    const Clock::time_point sent = Clock::now();
    AttemptResult result =
        co_await RunAttempt(m_plan, address->address, outcome.key, body);
    if (result.times.first_token_ms) {
      *result.times.first_token_ms += MillisBetween(start, sent);
    }
    ++outcome.attempts;
    // When the last attempt reaches no router, the result of the previous one
    // is kept.
    if (result.verdict != Verdict::kNotSent || outcome.attempts == 1) {
      outcome.earlier_unknown |= outcome.last.verdict == Verdict::kUnknown ||
                                 outcome.last.verdict == Verdict::kCut;
      outcome.last = std::move(result);
    }
    const milliseconds pause =
        outcome.last.retry_after.value_or(kMinRetryPause);
    if (!MayRetry(outcome.last) || Clock::now() + pause >= deadline) {
      break;
    }
    co_await PauseFor(pause);
  }
  outcome.ended_at = Clock::now();
  outcome.total_ms = MillisBetween(start, outcome.ended_at);
  co_return outcome;
}

// Retries use the same key, so that the fleet can distinguish them from new
// requests.
bool Caller::MayRetry(const AttemptResult& result) const {
  switch (result.verdict) {
    case Verdict::kWhole:
    case Verdict::kWrong:
      return false;
    case Verdict::kNotSent:
      return true;
    case Verdict::kRefused:
      return result.retry_after.has_value() || result.retry_elsewhere;
    case Verdict::kUnknown:
    case Verdict::kCut:
      // If a router reports an unknown outcome, the caller of non-idempotent
      // work checks for the effect instead of retrying. A lost connection
      // reports nothing, so the request is retried.
      return !m_plan.non_idempotent || result.retry_after.has_value() ||
             !result.error_id.starts_with("CV-");
  }
  return false;
}

std::string Caller::MakeKey(const std::string& prefix) {
  return prefix + m_plan.name + "-" + std::to_string(m_random());
}

}  // namespace coppervalve::load
