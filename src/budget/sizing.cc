#include "coppervalve/budget/sizing.h"

#include <algorithm>  // clamp, max, min
#include <cmath>      // ceil
#include <limits>     // numeric_limits

namespace coppervalve::budget {

namespace {

using core::Tokens;

constexpr Tokens kNoTokens{0};
constexpr int64_t kPermille = 1000;
/// A holding is refilled once 1/kRefillDivisor of its target is used: early
/// enough that it always lasts for nearly the whole ride-through time, late
/// enough to write few records.
constexpr int64_t kRefillDivisor = 5;

Tokens AtLeastZero(Tokens tokens) {
  return std::max(tokens, kNoTokens);
}

Tokens ExpectedSpend(const SizingView& view, double seconds) {
  return Tokens(
      static_cast<int64_t>(std::ceil(view.demand_per_second * seconds)));
}

/// Free tokens that any admission class may use.
Tokens UnrestrictedBalance(const SizingView& view) {
  return AtLeastZero(view.balance.free - view.balance.gate_held_back);
}

/// Divides paid_in first because it may be close to the largest int64_t.
bool BalanceIsBelow(const SizingView& view, int64_t permille) {
  return UnrestrictedBalance(view).value() <
         view.balance.paid_in.value() / kPermille * permille;
}

Tokens LargestRequests(const SizingView& view, int64_t count) {
  return Tokens(view.largest_bound.value() * count);
}

/// Minimum ceiling step, in permille of the largest request seen. With this
/// step one raise serves two requests, and a crash strands fewer tokens than
/// with a step of a whole request.
constexpr int64_t kMinStepPermille = 750;

/// This router's share of all tokens left to the live fleet. Free tokens can't
/// be used while the log is unavailable, so most of them are held. The
/// remainder is for routers that join and for demand that shifts between
/// routers.
Tokens ShareOfRemaining(const SizingOptions& options, const SizingView& view) {
  const Tokens remaining = UnrestrictedBalance(view) +
                           view.balance.held_by_others +
                           AtLeastZero(view.Spare());
  const int64_t routers = std::max<int64_t>(view.active_routers, 1);
  return Tokens(remaining.value() / kPermille * options.held_permille /
                routers);
}

Tokens FairShare(const SizingOptions& options,
                 const SizingView& view,
                 Tokens available) {
  const int64_t parts =
      options.fair_share_divisor * std::max<int64_t>(view.active_routers, 1);
  return Tokens(available.value() / parts);
}

/// Average holding of the other routers. While the log is unavailable, callers
/// of a crashed router may reach a router that has never used their budget
/// and then needs tokens of its own. Until then these tokens cost little,
/// because their ceiling stays at 0.
Tokens StandbyHolding(const SizingView& view) {
  const int64_t others = std::max<int64_t>(view.active_routers, 2) - 1;
  return Tokens(view.balance.held_by_others.value() / others);
}

/// Minimum holding of a budget that is rarely used. Demand during a quiet night
/// does not predict the demand of the next morning. If the log is unavailable
/// by then, only the tokens held here can be used, and without them paid work
/// would be refused.
Tokens MinimumHolding(const SizingOptions& options, const SizingView& view) {
  const Tokens remaining = UnrestrictedBalance(view) +
                           view.balance.held_by_others +
                           AtLeastZero(view.Spare());
  return Tokens(remaining.value() / kPermille * options.floor_permille);
}

/// Spare tokens that the holding should have.
Tokens TargetSpare(const SizingOptions& options, const SizingView& view) {
  const bool low = BalanceIsBelow(view, options.low_balance_permille);
  // Near exhaustion the free tokens must still suffice for whole requests at
  // some router. If all of them were distributed, each part would be too small
  // for any request.
  const Tokens cap = low ? FairShare(options, view, UnrestrictedBalance(view))
                         : ShareOfRemaining(options, view);
  if (view.idle) {
    return low ? kNoTokens : std::min(StandbyHolding(view), cap);
  }
  const Tokens wanted =
      low ? ExpectedSpend(view, options.low_seconds)
          : std::max({ExpectedSpend(view, options.ride_through_seconds),
                      LargestRequests(view, options.bounds_ahead),
                      StandbyHolding(view), MinimumHolding(options, view)});
  return std::min(wanted, cap);
}

GrantRequest DefaultGrant(const SizingOptions& options,
                          const SizingView& view) {
  const Tokens spare = AtLeastZero(view.Spare());
  const Tokens missing = view.smallest_unmet > kNoTokens
                             ? AtLeastZero(view.smallest_unmet - spare)
                             : kNoTokens;
  const Tokens minimum = std::max(missing, Tokens(1));
  const Tokens open = UnrestrictedBalance(view);
  if (view.gate_waits && open < minimum && view.balance.free >= minimum) {
    // Requests only what the waiting requests need; the remaining held-back
    // share is for GATE requests at the other routers.
    return {.tokens = minimum, .minimum = minimum, .gate = true};
  }
  if (open < minimum) {
    return {};
  }
  const Tokens share = FairShare(options, view, open);
  const Tokens target = TargetSpare(options, view);
  const bool refill =
      spare.value() < target.value() - target.value() / kRefillDivisor;
  if (!refill && missing == kNoTokens) {
    return {};
  }
  // The fair share also caps the unmet sum, so that a long queue here does not
  // use up the balance that the queues of other routers need.
  const Tokens unmet = std::min(AtLeastZero(view.unmet - spare), share);
  const Tokens tokens = std::max({AtLeastZero(target - spare), unmet, minimum});
  return {.tokens = std::min(tokens, open), .minimum = minimum};
}

Tokens DefaultKeep(const SizingOptions& options, const SizingView& view) {
  if (BalanceIsBelow(view, options.low_keep_permille)) {
    const Tokens running = ExpectedSpend(view, options.keep_low_seconds);
    return view.idle ? kNoTokens : std::max(running, view.unmet);
  }
  // While the balance is high, the average holding of other routers and a few
  // times the largest request are kept even when idle, so that the first
  // request after a pause needs neither the log nor a peer. This costs little,
  // because tokens above the ceiling are returned after a crash.
  return std::max({ExpectedSpend(view, options.ride_through_seconds),
                   LargestRequests(view, options.bounds_ahead),
                   StandbyHolding(view), MinimumHolding(options, view),
                   view.unmet});
}

Tokens DefaultCeilingStep(const SizingOptions& options,
                          const SizingView& view) {
  // A step smaller than most requests would cause a raise for each of them.
  // Otherwise the step is small, because a raise takes only one round trip to a
  // peer and a crash strands the step. While the log is unavailable, a witness
  // that crashes can't be replaced and only tokens below the acknowledged
  // ceiling remain usable, so the step is larger.
  const double seconds = view.log_unavailable
                             ? options.ceiling_log_outage_seconds
                             : options.ceiling_seconds;
  const Tokens ahead = ExpectedSpend(view, seconds);
  const Tokens floor =
      view.log_unavailable
          ? view.largest_bound
          : Tokens(view.largest_bound.value() * kMinStepPermille / kPermille);
  return std::max(ahead, floor);
}

GrantRequest EqualGrant(const SizingView& view) {
  const int64_t routers = std::max<int64_t>(view.active_routers, 1);
  const Tokens share(view.balance.paid_in.value() / routers);
  const Tokens missing = std::min(share - view.received, view.balance.free);
  return {.tokens = AtLeastZero(missing), .minimum = Tokens(1)};
}

}  // namespace

SizingPolicy DefaultSizing(SizingOptions options) {
  SizingPolicy policy;
  policy.grant = [options](const SizingView& view) {
    return DefaultGrant(options, view);
  };
  policy.keep = [options](const SizingView& view) {
    return DefaultKeep(options, view);
  };
  policy.ceiling_step = [options](const SizingView& view) {
    return DefaultCeilingStep(options, view);
  };
  return policy;
}

SizingPolicy EqualSplit() {
  SizingPolicy policy;
  policy.grant = EqualGrant;
  policy.keep = [](const SizingView&) {
    return Tokens(std::numeric_limits<int64_t>::max());
  };
  policy.ceiling_step = [](const SizingView& view) { return view.received; };
  policy.redistributes = false;
  return policy;
}

}  // namespace coppervalve::budget
