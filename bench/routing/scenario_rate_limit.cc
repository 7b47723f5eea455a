#include <cmath>  // pow

#include "bench/routing/scenarios.h"
#include "bench/routing/workload.h"
#include "coppervalve/routing/rate_limiter.h"

namespace coppervalve::bench {

namespace {

constexpr size_t kRouters = 7;
constexpr uint32_t kLimit = 700;
constexpr int64_t kMillis = 30'000;
constexpr int64_t kHeartbeatMillis = 500;

/// Share of the demand that goes to one router.
using Spread = std::function<double(size_t router)>;

struct LimiterResult {
  double admitted_of_limit = 0;
  double admitted_of_demand = 0;
};

LimiterResult RunLimiter(double demand, const Spread& spread, bool exchange) {
  const core::AccountId account("tours");
  std::vector<routing::RateLimiter> routers(kRouters);
  for (routing::RateLimiter& router : routers) {
    router.SetLimits({{account, kLimit, 0}});
    router.SetRouters(kRouters);
  }
  std::vector<double> due(kRouters, 0);
  double offered = 0;
  double admitted = 0;
  for (int64_t millis = 0; millis < kMillis; ++millis) {
    const core::TimePoint now(core::Duration(millis * 1000));
    for (size_t from = 0;
         exchange && millis % kHeartbeatMillis == 0 && from < kRouters;
         ++from) {
      const auto report = routers[from].ReportDemand(now);
      for (size_t to = 0; to < kRouters; ++to) {
        if (to != from) {
          routers[to].SetPeerDemand(core::RouterId(std::to_string(from)),
                                    report);
        }
      }
    }
    for (size_t router = 0; router < kRouters; ++router) {
      due[router] += demand * kLimit * spread(router) / 1000;
      while (due[router] >= 1) {
        due[router] -= 1;
        offered += 1;
        admitted += routers[router].Admit(account, now) ? 0 : 1;
      }
    }
  }
  const double entitled = kLimit * static_cast<double>(kMillis) / 1000;
  return {admitted / entitled, admitted / offered};
}

double AtOneRouter(size_t router) {
  return router == 0 ? 1 : 0;
}

double Halving(size_t router) {
  const double total = 2 - std::pow(0.5, kRouters - 1);
  return std::pow(0.5, static_cast<double>(router)) / total;
}

}  // namespace

void MeasureRateLimiter(Figures& figures) {
  const LimiterResult one = RunLimiter(0.75, AtOneRouter, true);
  const LimiterResult one_equal = RunLimiter(0.75, AtOneRouter, false);
  figures.Report("limit_admitted_at_one_router", one.admitted_of_demand,
                 "share", BoundKind::kAtLeast, 0.95,
                 one_equal.admitted_of_demand);
  const LimiterResult skewed = RunLimiter(0.9, Halving, true);
  const LimiterResult skewed_equal = RunLimiter(0.9, Halving, false);
  figures.Report("limit_admitted_when_skewed", skewed.admitted_of_demand,
                 "share", BoundKind::kAtLeast, 0.95,
                 skewed_equal.admitted_of_demand);
  const LimiterResult over = RunLimiter(3, Halving, true);
  const LimiterResult over_equal = RunLimiter(3, Halving, false);
  figures.Report("limit_overshoot", over.admitted_of_limit, "ratio",
                 BoundKind::kAtMost, 1.05, over_equal.admitted_of_limit);
}

}  // namespace coppervalve::bench
