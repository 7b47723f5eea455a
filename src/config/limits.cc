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

uint32_t Or(uint32_t value, uint32_t fallback) {
  return value != 0 ? value : fallback;
}

}  // namespace

core::Duration LimitsView::QueueFor(v1::AdmissionClass admission_class) const {
  switch (admission_class) {
    case v1::GATE:
      return gate_queue;
    case v1::INTERACTIVE:
      return interactive_queue;
    default:
      return batch_queue;
  }
}

LimitsView ViewOf(const v1::Limits& limits) {
  LimitsView view;
  view.max_body = core::Bytes(Or(limits.max_body_bytes(), kMaxBodyBytes));
  view.default_max_output =
      core::Tokens(Or(limits.default_max_output_tokens(), kDefaultMaxOutput));
  view.max_output = core::Tokens(Or(limits.max_output_tokens(), kMaxOutput));
  view.queue_capacity = Or(limits.queue_capacity(), kQueueCapacity);
  view.batch_queue = milliseconds(Or(limits.batch_queue_ms(), kBatchQueueMs));
  view.interactive_queue =
      milliseconds(Or(limits.interactive_queue_ms(), kInteractiveQueueMs));
  view.gate_queue = milliseconds(Or(limits.gate_queue_ms(), kGateQueueMs));
  view.first_token_timeout =
      milliseconds(Or(limits.first_token_timeout_ms(), kFirstTokenTimeoutMs));
  view.inter_token_timeout =
      milliseconds(Or(limits.inter_token_timeout_ms(), kInterTokenTimeoutMs));
  view.config_freshness =
      milliseconds(Or(limits.config_freshness_ms(), kConfigFreshnessMs));
  view.answer_keep = seconds(Or(limits.answer_keep_s(), kAnswerKeepS));
  view.retire_after =
      milliseconds(Or(limits.retire_after_ms(), kRetireAfterMs));
  view.address_lifetime =
      milliseconds(Or(limits.address_lifetime_ms(), kAddressLifetimeMs));
  return view;
}

}  // namespace coppervalve::config
