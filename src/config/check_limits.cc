#include <array>  // to_array

#include "coppervalve/config/limits.h"
#include "semantic_checks.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;

struct LimitRange {
  const char* field;
  uint32_t (v1::Limits::*value)() const;
  uint32_t low;  // lowest value that may be set; 0 selects the default
  uint32_t high;
};

constexpr uint32_t kHourMs = 3'600'000;

// Routers append at least every 3 s, so a shorter timeout would retire live
// routers.
constexpr uint32_t kMinRetireAfterMs = 4'000;

constexpr auto kRanges = std::to_array<LimitRange>({
    {"max_body_bytes", &v1::Limits::max_body_bytes, 1'024, 64U << 20U},
    {"default_max_output_tokens", &v1::Limits::default_max_output_tokens, 1,
     10'000'000},
    {"max_output_tokens", &v1::Limits::max_output_tokens, 1, 10'000'000},
    {"queue_capacity", &v1::Limits::queue_capacity, 1, 1'000'000},
    {"batch_queue_ms", &v1::Limits::batch_queue_ms, 1, kHourMs},
    {"interactive_queue_ms", &v1::Limits::interactive_queue_ms, 1, kHourMs},
    {"gate_queue_ms", &v1::Limits::gate_queue_ms, 1, kHourMs},
    {"first_token_timeout_ms", &v1::Limits::first_token_timeout_ms, 10,
     kHourMs},
    {"inter_token_timeout_ms", &v1::Limits::inter_token_timeout_ms, 10,
     kHourMs},
    {"config_freshness_ms", &v1::Limits::config_freshness_ms, 1'000, kHourMs},
    {"answer_keep_s", &v1::Limits::answer_keep_s, 1, 86'400},
    {"retire_after_ms", &v1::Limits::retire_after_ms, kMinRetireAfterMs,
     kHourMs},
    {"address_lifetime_ms", &v1::Limits::address_lifetime_ms, 100, kHourMs},
});

}  // namespace

void CheckLimits(const v1::Limits& limits, Report& report) {
  for (const LimitRange& range : kRanges) {
    const uint32_t value = (limits.*range.value)();
    if (value != 0) {
      report.CheckRange(value, range.low, range.high,
                        std::string("$.limits.") + range.field);
    }
  }
  const EffectiveLimits resolved = ResolveLimits(limits);
  if (resolved.default_max_output > resolved.max_output) {
    report.Add(ErrorId::kConfigBadValue, "$.limits.default_max_output_tokens",
               "more than max_output_tokens");
  }
}

}  // namespace coppervalve::config
