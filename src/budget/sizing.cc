#include "coppervalve/budget/sizing.h"

#include <algorithm>  // clamp, max, min
#include <cmath>      // ceil
#include <limits>     // numeric_limits

namespace coppervalve::budget {

namespace {

using core::Tokens;

constexpr Tokens kNoTokens{0};
constexpr int64_t kPermille = 1000;
/// A holding is filled up once this part of its target is used: soon enough to
/// ride through nearly the whole time at any moment, late enough for few
/// records.
constexpr int64_t kRefillDivisor = 5;

Tokens AtLeastZero(Tokens tokens) {
  return std::max(tokens, kNoTokens);
}

Tokens ExpectedSpend(const SizingView& view, double seconds) {
  return Tokens(
      static_cast<int64_t>(std::ceil(view.demand_per_second * seconds)));
}

/// What any class may draw.
Tokens UnrestrictedBalance(const SizingView& view) {
  return AtLeastZero(view.balance.free - view.balance.gate_held_back);
}

/// paid_in is divided first: it may be near the largest int64_t.
bool BalanceIsBelow(const SizingView& view, int64_t permille) {
  return UnrestrictedBalance(view).value() <
         view.balance.paid_in.value() / kPermille * permille;
}

Tokens LargestRequests(const SizingView& view, int64_t count) {
  return Tokens(view.largest_bound.value() * count);
}

/// Least step of a ceiling, in parts of the largest request seen: at this size
/// one raise serves two requests, and a crash strands less than with a whole.
constexpr int64_t kMinStepPermille = 750;

/// This router's part of all that the live fleet has left. What is free is of
/// no use while the log is out, so most of it is held; the remaining is for
/// routers that join and for demand that moves.
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

/// What the other routers hold on average. While the log is out, callers of a
/// router that died come to one that may never have seen their budget: it needs
/// tokens of its own then. They cost little before, as its ceiling stays at 0.
Tokens StandbyHolding(const SizingView& view) {
  const int64_t others = std::max<int64_t>(view.active_routers, 2) - 1;
  return Tokens(view.balance.held_by_others.value() / others);
}

/// What a budget that is seldom used has held here all the same. Demand says
/// nothing about the morning after a quiet night: when the log is out by then,
/// what is held is all there is, and paid work would be refused.
Tokens MinimumHolding(const SizingOptions& options, const SizingView& view) {
  const Tokens remaining = UnrestrictedBalance(view) +
                           view.balance.held_by_others +
                           AtLeastZero(view.Spare());
  return Tokens(remaining.value() / kPermille * options.floor_permille);
}

/// What the holding should have spare.
Tokens TargetSpare(const SizingOptions& options, const SizingView& view) {
  const bool low = BalanceIsBelow(view, options.low_ask_permille);
  // Near exhaustion what is free must suffice for whole requests somewhere:
  // shared out in full it would lie in pieces that are too small for any.
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
    // Only what waits: the remaining of the held-back share is for the gate
    // work of the other routers.
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
  // The unmet sum is capped by the fair share, too: a long queue here must not
  // empty the balance under the queues of the others.
  const Tokens unmet = std::min(AtLeastZero(view.unmet - spare), share);
  const Tokens tokens = std::max({AtLeastZero(target - spare), unmet, minimum});
  return {.tokens = std::min(tokens, open), .minimum = minimum};
}

Tokens DefaultKeep(const SizingOptions& options, const SizingView& view) {
  if (BalanceIsBelow(view, options.low_keep_permille)) {
    const Tokens running = ExpectedSpend(view, options.keep_low_seconds);
    return view.idle ? kNoTokens : std::max(running, view.unmet);
  }
  // Plenty: what the others hold, and a few requests' worth, stays even when
  // idle, so that the first request after a pause needs neither the log nor a
  // peer. It costs little: after a crash, what is past the ceiling goes back.
  return std::max({ExpectedSpend(view, options.ride_through_seconds),
                   LargestRequests(view, options.bounds_ahead),
                   StandbyHolding(view), MinimumHolding(options, view),
                   view.unmet});
}

Tokens DefaultCeilingStep(const SizingOptions& options,
                          const SizingView& view) {
  // A step smaller than most requests raises the ceiling for each of them.
  // A raise takes one round trip to a peer, so little is kept ahead: a crash
  // strands it. While the log is out a witness that dies can't be replaced, and
  // what is ahead is all that is left to work with.
  const double seconds = view.log_unavailable
                             ? options.ceiling_log_unavailable_seconds
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
