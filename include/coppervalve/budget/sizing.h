#ifndef COPPERVALVE_BUDGET_SIZING_H_
#define COPPERVALVE_BUDGET_SIZING_H_

#include <cstdint>     // uint32_t
#include <functional>  // function

#include "coppervalve/core/units.h"

namespace coppervalve::budget {

/// @brief Balance of one budget according to the ledger.
struct BalanceView {
  core::Tokens free;            ///< not held by any router
  core::Tokens paid_in;         ///< prepaid and topped up so far
  core::Tokens gate_held_back;  ///< part of `free` reserved for class GATE
  core::Tokens held_by_others;  ///< unspent, by other live incarnations
  core::Tokens quarantined;     ///< unspent, by retired incarnations
};

/// @brief Input of a sizing decision.
struct SizingView {
  BalanceView balance;
  uint32_t active_routers = 1;     ///< this one included, at least 1
  double demand_per_second = 0.0;  ///< tokens
  core::Tokens largest_bound;      ///< of recent requests
  core::Tokens received;           ///< cumulative, less what was returned
  core::Tokens committed;          ///< spent + reserved + transferred out
  core::Tokens unmet;              ///< sum of the bounds of waiting requests
  core::Tokens smallest_unmet;     ///< smallest of them; 0 when none waits
  bool gate_waits = false;         ///< a GATE request is among them
  core::Tokens gate_only;          ///< spare tokens that only GATE may reserve
  bool idle = false;               ///< no request within kIdleTimeout
  bool log_unavailable = false;

  /// @return the spare tokens that the waiting requests could reserve
  core::Tokens Spare() const {
    const core::Tokens spare = received - committed;
    return gate_waits ? spare : spare - gate_only;
  }
};

/// @brief An allotment to request from the log; none when `tokens` is 0.
struct GrantRequest {
  core::Tokens tokens;
  core::Tokens minimum;
  bool gate = false;  ///< from the share held back for class GATE
};

/// @brief Determines the sizes of holdings and ceilings. The functions must be
/// pure.
struct SizingPolicy {
  /// The allotment to request now.
  std::function<GrantRequest(const SizingView&)> grant;
  /// The spare tokens to keep; the surplus is returned.
  std::function<core::Tokens(const SizingView&)> keep;
  /// How far above the committed tokens the ceiling is raised.
  std::function<core::Tokens(const SizingView&)> ceiling_step;
  /// Whether tokens are returned to the balance and transferred between
  /// routers.
  bool redistributes = true;
};

/// @brief The parameters of DefaultSizing.
struct SizingOptions {
  // Amounts in seconds of demand.
  double ride_through_seconds = 600.0;       ///< held while the balance is high
  double low_seconds = 4.0;                  ///< requested near exhaustion
  double keep_low_seconds = 2.0;             ///< kept near exhaustion
  double ceiling_seconds = 0.5;              ///< covered by a ceiling step
  double ceiling_log_outage_seconds = 10.0;  ///< the same without the log

  int64_t held_permille = 900;     ///< of the tokens left, held by all routers
  int64_t fair_share_divisor = 2;  ///< requests are at most free / (this * N)
  int64_t bounds_ahead = 4;        ///< minimum holding, in largest requests
  int64_t floor_permille = 10;     ///< minimum holding, of the tokens left
  int64_t low_balance_permille =
      100;                         ///< of paid-in; below it, requests are small
  int64_t low_keep_permille = 50;  ///< of paid-in; below it, return the surplus
};

/// @brief Uses large holdings while the balance is high, small ones near
/// exhaustion, and never more than a fair share.
SizingPolicy DefaultSizing(SizingOptions options = {});

/// @brief Baseline for benchmarks: each router requests an equal part of the
/// paid-in tokens as they are paid in and never returns or transfers any. The
/// ceiling always covers the whole holding.
SizingPolicy EqualSplit();

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_SIZING_H_
