#include <CppUTest/TestHarness.h>

#include <algorithm>  // count
#include <cstdio>     // printf
#include <string>

#include "crash_fleet.h"

using namespace coppervalve::entry::testing;

namespace {

constexpr uint64_t kSeeds = 60;
constexpr size_t kRouters = 7;
constexpr size_t kUpstreams = 18;
// The aim: once three upstreams ended under a request and all routers had the
// time to hear of it, it reaches upstreams three times more at most.
constexpr double kHeardBy = 3;
constexpr size_t kMostSendsAfter = 3;

/// @brief What one request that ends upstreams cost.
struct Cost {
  size_t ended = 0;
  size_t sends_after = 0;
};

/// @brief Copies of such a request come at once, to routers of their own, again
/// and again, for a minute and a half.
Cost PlayCopies(uint64_t seed, size_t routers, size_t copies, double every) {
  CrashFleet fleet(seed, routers, kUpstreams);
  Cost cost;
  double third_at = -1;
  while (fleet.now() < 90) {
    for (size_t copy = 0; copy < copies; ++copy) {
      const size_t first = fleet.RandomRouter();
      const bool sent = fleet.Ask((first + copy) % routers, "poison", true);
      const bool late = third_at >= 0 && fleet.now() > third_at + kHeardBy;
      cost.sends_after += sent && late ? 1 : 0;
    }
    fleet.Pass(every);
    cost.ended += fleet.TakeCut().size();
    if (third_at < 0 && cost.ended >= 3) {
      third_at = fleet.now();
    }
  }
  return cost;
}

struct Refused {
  size_t asked = 0;
  size_t refused = 0;
};

/// @brief Nine in a hundred callers ask about one thing with the same words,
/// others come back at once when they are cut; upstreams end three at a time,
/// eight times.
Refused PlayStorm(uint64_t seed) {
  CrashFleet fleet(seed, 3, kUpstreams);
  Refused seen;
  size_t number = 0;
  const auto ask = [&](const std::string& body) {
    ++seen.asked;
    seen.refused += fleet.Ask(fleet.RandomRouter(), body, false) ? 0 : 1;
  };
  double next_storm = 3;
  while (fleet.now() < 45) {
    ++number;
    ask(number % 11 == 0 ? "a hot subject" : "own " + std::to_string(number));
    if (fleet.now() >= next_storm) {
      fleet.EndSome(3);
      next_storm += 5;
    }
    for (const std::string& body : fleet.TakeCut()) {
      ask(body);
    }
    fleet.Pass(0.02);
  }
  return seen;
}

struct Attack {
  Cost cost;
  Refused others;
};

/// @brief One request that ends upstreams among those of other callers, who
/// come back at once when they are cut with it.
Attack PlayAttack(uint64_t seed) {
  CrashFleet fleet(seed, 3, kUpstreams);
  Attack seen;
  double third_at = -1;
  double next_poison = 2;
  size_t number = 0;
  const auto ask = [&](const std::string& body) {
    ++seen.others.asked;
    const bool sent = fleet.Ask(fleet.RandomRouter(), body, false);
    seen.others.refused += sent ? 0 : 1;
  };
  while (fleet.now() < 45) {
    ++number;
    ask(number % 11 == 0 ? "a hot subject" : "own " + std::to_string(number));
    if (fleet.now() >= next_poison) {
      const bool sent = fleet.Ask(fleet.RandomRouter(), "poison", true);
      const bool late = third_at >= 0 && fleet.now() > third_at + kHeardBy;
      seen.cost.sends_after += sent && late ? 1 : 0;
      next_poison += 1.1;
    }
    for (const std::string& body : fleet.TakeCut()) {
      if (body == "poison") {
        ++seen.cost.ended;
      } else {
        ask(body);
      }
    }
    if (third_at < 0 && seen.cost.ended >= 3) {
      third_at = fleet.now();
    }
    fleet.Pass(0.02);
  }
  return seen;
}

}  // namespace

// clang-format off
TEST_GROUP(CrashFleet) {
};
// clang-format on

TEST(CrashFleet, a_request_that_ends_upstreams_reaches_three_more_at_most) {
  // It comes once a second or so to any of seven routers, under new ids.
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Cost cost = PlayCopies(seed, kRouters, 1, 1.1);
    CHECK(cost.sends_after <= kMostSendsAfter);
    CHECK(cost.ended <= 3 + kMostSendsAfter);
  }
}

TEST(CrashFleet,
     copies_that_come_at_once_through_ten_routers_are_no_way_round) {
  // Ten copies are on their way before the first end is known; no router could
  // have told. From then on they are tried one at a time.
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Cost cost = PlayCopies(seed, 10, 10, 4);
    CHECK(cost.sends_after <= kMostSendsAfter);
    CHECK(cost.ended <= 10 + kMostSendsAfter);
  }
}

TEST(CrashFleet, those_that_ran_beside_it_are_served_and_it_is_not) {
  Refused others;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Attack seen = PlayAttack(seed);
    CHECK(seen.cost.sends_after <= kMostSendsAfter);
    CHECK(seen.cost.ended <= 3 + kMostSendsAfter);
    others.asked += seen.others.asked;
    others.refused += seen.others.refused;
  }
  CHECK(others.refused * 500 <= others.asked);
}

TEST(CrashFleet, innocent_requests_are_served_through_spells_of_crashes) {
  Refused all;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Refused seen = PlayStorm(seed);
    all.asked += seen.asked;
    all.refused += seen.refused;
  }
  // The pages allow one proper request in 500 to be refused for good.
  CHECK(all.refused * 500 <= all.asked);
}
