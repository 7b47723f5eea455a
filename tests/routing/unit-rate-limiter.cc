#include "coppervalve/routing/rate_limiter.h"

#include <CppUTest/TestHarness.h>

#include <cmath>  // abs

#include "routing_fixture.h"

using namespace coppervalve;
using namespace coppervalve::routing;
using namespace coppervalve::routing::testing;

namespace {

const core::AccountId kTours("tours");
constexpr size_t kRouters = 7;

/// Routers that exchange their demand every 500 ms.
struct Fleet {
  explicit Fleet(uint32_t limit) : routers(kRouters) {
    for (RateLimiter& router : routers) {
      router.SetLimits({{kTours, limit, 0}});
      router.SetRouters(kRouters);
    }
  }

  void Exchange(core::TimePoint now) {
    for (size_t from = 0; from < kRouters; ++from) {
      const auto demand = routers[from].ReportDemand(now);
      for (size_t to = 0; to < kRouters; ++to) {
        if (to != from) {
          routers[to].SetPeerDemand(core::RouterId(std::to_string(from)),
                                    demand);
        }
      }
    }
  }

  std::vector<RateLimiter> routers;
};

}  // namespace

// clang-format off
TEST_GROUP(RateLimiter){};
// clang-format on

TEST(RateLimiter, an_account_at_one_router_gets_nearly_the_whole_limit) {
  // Callers keep using the address that they were given, so all requests of an
  // account may arrive at one of seven routers. Equal shares would refuse six
  // sevenths of the account's limit.
  Fleet fleet(70);
  int admitted = 0;
  for (int64_t now = 0; now < 20'000; now += 10) {
    if (now % 500 == 0) {
      fleet.Exchange(At(now));
    }
    admitted += fleet.routers[0].Admit(kTours, At(now)) ? 0 : 1;
  }
  CHECK(admitted > 70 * 20 * 7 / 10);
  CHECK(admitted <= 70 * 21);
}

TEST(RateLimiter, the_fleet_does_not_exceed_the_limit) {
  Fleet fleet(70);
  int admitted = 0;
  for (int64_t now = 0; now < 20'000; now += 10) {
    if (now % 500 == 0) {
      fleet.Exchange(At(now));
    }
    for (RateLimiter& router : fleet.routers) {
      admitted += router.Admit(kTours, At(now)) ? 0 : 1;
    }
  }
  CHECK(admitted > 70 * 20 * 9 / 10);
  CHECK(admitted <= 70 * 21 + static_cast<int>(kRouters));
}

TEST(RateLimiter, a_refusal_says_when_the_next_request_is_admitted) {
  RateLimiter limiter;
  limiter.SetLimits({{kTours, 2, 1}});
  CHECK(!limiter.Admit(kTours, At(0)));
  const auto refusal = limiter.Admit(kTours, At(0));
  CHECK(refusal->error.id == core::ErrorId::kRateLimited);
  CHECK(*refusal->retry_after == Millis(500));
  CHECK(!limiter.Admit(kTours, At(0) + *refusal->retry_after));
}

TEST(RateLimiter, accounts_without_a_limit_are_admitted) {
  RateLimiter limiter;
  limiter.SetLimits({{kTours, 0, 0}});
  for (int i = 0; i < 1000; ++i) {
    CHECK(!limiter.Admit(kTours, At(0)));
    CHECK(!limiter.Admit(core::AccountId("other"), At(0)));
  }
}

TEST(RateLimiter, a_new_configuration_keeps_the_level) {
  RateLimiter limiter;
  limiter.SetLimits({{kTours, 1, 1}});
  CHECK(!limiter.Admit(kTours, At(0)));
  limiter.SetLimits({{kTours, 1, 1}});
  CHECK(limiter.Admit(kTours, At(1)).has_value());
}
