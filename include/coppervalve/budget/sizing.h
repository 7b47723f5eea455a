#ifndef COPPERVALVE_BUDGET_SIZING_H_
#define COPPERVALVE_BUDGET_SIZING_H_

#include <cstdint>     // uint32_t
#include <functional>  // function

#include "coppervalve/core/units.h"

namespace coppervalve::budget {

/// @brief What this router's fold knows of one budget.
struct BalanceView {
  core::Tokens free;            ///< not held by any router
  core::Tokens paid_in;         ///< prepaid and topped up so far
  core::Tokens gate_held_back;  ///< part of `free` that only GATE may draw on
  core::Tokens held_by_others;  ///< unspent, by other live incarnations
  core::Tokens quarantined;     ///< unspent, by retired incarnations
};

/// @brief What a sizing decision may look at.
struct SizingView {
  BalanceView balance;
  uint32_t active_routers = 1;     ///< this one included, at least 1
  double demand_per_second = 0.0;  ///< tokens
  core::Tokens largest_bound;      ///< of recent requests
  core::Tokens received;           ///< cumulative, less what was returned
  core::Tokens committed;          ///< spent + reserved + transferred out
  core::Tokens unmet;              ///< sum of the bounds that wait for tokens
  core::Tokens smallest_unmet;     ///< smallest of them; 0 when none waits
  bool gate_waits = false;         ///< a GATE request is among them
  core::Tokens gate_only;          ///< spare that only GATE may reserve
  bool idle = false;               ///< no request requested for kIdleTimeout
  bool log_unavailable = false;

  /// @return what the requests that wait could reserve
  core::Tokens Spare() const {
    const core::Tokens spare = received - committed;
    return gate_waits ? spare : spare - gate_only;
  }
};

/// @brief An allotment to ask the log for; `tokens` 0 means none.
struct GrantRequest {
  core::Tokens tokens;
  core::Tokens minimum;
  bool gate = false;  ///< draws on the held-back share
};

/// @brief How large holdings and ceilings are. The functions must be pure.
struct SizingPolicy {
  /// How much to ask for now.
  std::function<GrantRequest(const SizingView&)> grant;
  /// How much of the spare tokens to keep; more than that goes back.
  std::function<core::Tokens(const SizingView&)> keep;
  /// How far past the committed tokens the ceiling is raised.
  std::function<core::Tokens(const SizingView&)> ceiling_step;
  /// Whether holdings move back to the balance and between routers.
  bool redistributes = true;
};

/// @brief The parameters of DefaultSizing.
struct SizingOptions {
  double ride_through_seconds = 600.0;  ///< demand held when there is plenty
  double low_seconds = 4.0;       ///< demand requested for near exhaustion
  double keep_low_seconds = 2.0;  ///< demand kept near exhaustion
  double ceiling_seconds = 0.5;   ///< demand ahead of the ceiling
  double ceiling_log_unavailable_seconds =
      10.0;                        ///< the same while the log is out
  int64_t held_permille = 900;     ///< of what is left, held by all together
  int64_t fair_share_divisor = 2;  ///< a queue asks at most free / (this * N)
  int64_t bounds_ahead = 4;        ///< smallest holding, in requests
  int64_t floor_permille = 10;     ///< smallest holding, of what is left
  int64_t low_ask_permille = 100;  ///< of paid-in: below it, ask for little
  int64_t low_keep_permille = 50;  ///< of paid-in: below it, return the rest
};

/// @brief Large holdings while the balance is plenty, small ones near
/// exhaustion, never more than a fair share.
SizingPolicy DefaultSizing(SizingOptions options = {});

/// @brief Baseline for benchmarks: an equal part of paid-in for each router,
/// requested for when it is paid in, never returned or transferred, no ceiling
/// below it.
SizingPolicy EqualSplit();

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_SIZING_H_
