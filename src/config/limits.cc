#include "coppervalve/config/limits.h"

#include <chrono>  // milliseconds, seconds

namespace coppervalve::config {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kMaxBodyBytes = 1U << 20U;
constexpr uint32_t kDefaultMaxOutput = 512;
constexpr uint32_t kMaxOutput = 4096;
constexpr uint32_t kQueueCapacity = 1024;
constexpr uint32_t kBatchQueueMs = 60'000;
constexpr uint32_t kInteractiveQueueMs = 10'000;
constexpr uint32_t kGateQueueMs = 2'000;
constexpr uint32_t kFirstTokenTimeoutMs = 10'000;
constexpr uint32_t kInterTokenTimeoutMs = 5'000;
constexpr uint32_t kConfigFreshnessMs = 8'000;
constexpr uint32_t kAnswerKeepS = 300;
constexpr uint32_t kRetireAfterMs = 10'000;
constexpr uint32_t kAddressLifetimeMs = 10'000;

uint32_t ValueOrDefault(uint32_t value, uint32_t fallback) {
  return value != 0 ? value : fallback;
}

}  // namespace

core::Duration EffectiveLimits::QueueFor(
    v1::AdmissionClass admission_class) const {
  switch (admission_class) {
    case v1::GATE:
      return gate_queue;
    case v1::INTERACTIVE:
      return interactive_queue;
    default:
      return batch_queue;
  }
}

EffectiveLimits ResolveLimits(const v1::Limits& limits) {
  EffectiveLimits resolved;
  resolved.max_body =
      core::Bytes(ValueOrDefault(limits.max_body_bytes(), kMaxBodyBytes));
  resolved.default_max_output = core::Tokens(
      ValueOrDefault(limits.default_max_output_tokens(), kDefaultMaxOutput));
  resolved.max_output =
      core::Tokens(ValueOrDefault(limits.max_output_tokens(), kMaxOutput));
  resolved.queue_capacity =
      ValueOrDefault(limits.queue_capacity(), kQueueCapacity);
  resolved.batch_queue =
      milliseconds(ValueOrDefault(limits.batch_queue_ms(), kBatchQueueMs));
  resolved.interactive_queue = milliseconds(
      ValueOrDefault(limits.interactive_queue_ms(), kInteractiveQueueMs));
  resolved.gate_queue =
      milliseconds(ValueOrDefault(limits.gate_queue_ms(), kGateQueueMs));
  resolved.first_token_timeout = milliseconds(
      ValueOrDefault(limits.first_token_timeout_ms(), kFirstTokenTimeoutMs));
  resolved.inter_token_timeout = milliseconds(
      ValueOrDefault(limits.inter_token_timeout_ms(), kInterTokenTimeoutMs));
  resolved.config_freshness = milliseconds(
      ValueOrDefault(limits.config_freshness_ms(), kConfigFreshnessMs));
  resolved.answer_keep =
      seconds(ValueOrDefault(limits.answer_keep_s(), kAnswerKeepS));
  resolved.retire_after =
      milliseconds(ValueOrDefault(limits.retire_after_ms(), kRetireAfterMs));
  resolved.address_lifetime = milliseconds(
      ValueOrDefault(limits.address_lifetime_ms(), kAddressLifetimeMs));
  return resolved;
}

}  // namespace coppervalve::config
