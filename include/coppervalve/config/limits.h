#ifndef COPPERVALVE_CONFIG_LIMITS_H_
#define COPPERVALVE_CONFIG_LIMITS_H_

#include <cstdint>  // uint32_t

#include "coppervalve/config.pb.h"
#include "coppervalve/core/units.h"

namespace coppervalve::config {

/// @brief The fleet-wide limits with their defaults applied.
struct EffectiveLimits {
  core::Bytes max_body;
  core::Tokens default_max_output;  ///< when the caller gives none
  core::Tokens max_output;
  uint32_t queue_capacity = 0;  ///< requests per router
  core::Duration batch_queue{};
  core::Duration interactive_queue{};
  core::Duration gate_queue{};
  core::Duration first_token_timeout{};
  core::Duration inter_token_timeout{};
  core::Duration config_freshness{};
  core::Duration answer_keep{};
  core::Duration retire_after{};
  core::Duration address_lifetime{};

  friend bool operator==(const EffectiveLimits&,
                         const EffectiveLimits&) = default;

  /// @return the longest wait in the queue of a class
  core::Duration QueueFor(v1::AdmissionClass admission_class) const;
};

/// @brief Attempts per request when its rule sets none.
inline constexpr uint32_t kDefaultMaxAttempts = 3;
/// @brief Requests in progress per upstream when its entry sets none.
inline constexpr uint32_t kDefaultMaxConcurrency = 64;
/// @brief Default price: one budget token per token of work.
inline constexpr uint32_t kDefaultPricePermille = 1000;

/// @brief Applies the documented defaults.
EffectiveLimits ResolveLimits(const v1::Limits& limits);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_LIMITS_H_
