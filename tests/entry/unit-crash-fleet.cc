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
// Requirement: once three upstreams terminated under a request and all routers
// had time to learn of it, it is sent at most three more times.
constexpr double kReportTime = 3;
constexpr size_t kMaxSendsAfter = 3;

/// @brief The damage done by one request that crashes upstreams.
struct Cost {
  size_t ended = 0;
  size_t sends_after = 0;
};

/// @brief Copies of such a request arrive at once at different routers,
/// repeatedly for 90 seconds.
Cost SimulateCopies(uint64_t seed,
                    size_t routers,
                    size_t copies,
                    double every) {
  CrashFleet fleet(seed, routers, kUpstreams);
  Cost cost;
  double third_at = -1;
  while (fleet.now() < 90) {
    for (size_t copy = 0; copy < copies; ++copy) {
      const size_t first = fleet.RandomRouter();
      const bool sent = fleet.Send((first + copy) % routers, "crashing", true);
      const bool late = third_at >= 0 && fleet.now() > third_at + kReportTime;
      cost.sends_after += sent && late ? 1 : 0;
    }
    fleet.Advance(every);
    cost.ended += fleet.TakeInterrupted().size();
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

/// @brief Nine percent of the callers send the same content, and others retry
/// at once when they are interrupted. Eight times, three upstreams terminate
/// together.
Refused SimulateUnrelatedCrashes(uint64_t seed) {
  CrashFleet fleet(seed, 3, kUpstreams);
  Refused seen;
  size_t number = 0;
  const auto ask = [&](const std::string& body) {
    ++seen.asked;
    seen.refused += fleet.Send(fleet.RandomRouter(), body, false) ? 0 : 1;
  };
  double next_crashes = 3;
  while (fleet.now() < 45) {
    ++number;
    ask(number % 11 == 0 ? "popular" : "own " + std::to_string(number));
    if (fleet.now() >= next_crashes) {
      fleet.TerminateRandom(3);
      next_crashes += 5;
    }
    for (const std::string& body : fleet.TakeInterrupted()) {
      ask(body);
    }
    fleet.Advance(0.02);
  }
  return seen;
}

struct MixedOutcome {
  Cost cost;
  Refused others;
};

/// @brief One request that crashes upstreams, among those of other callers, who
/// retry at once when they are interrupted with it.
MixedOutcome SimulateMixedCallers(uint64_t seed) {
  CrashFleet fleet(seed, 3, kUpstreams);
  MixedOutcome seen;
  double third_at = -1;
  double next_bad = 2;
  size_t number = 0;
  const auto ask = [&](const std::string& body) {
    ++seen.others.asked;
    const bool sent = fleet.Send(fleet.RandomRouter(), body, false);
    seen.others.refused += sent ? 0 : 1;
  };
  while (fleet.now() < 45) {
    ++number;
    ask(number % 11 == 0 ? "popular" : "own " + std::to_string(number));
    if (fleet.now() >= next_bad) {
      const bool sent = fleet.Send(fleet.RandomRouter(), "crashing", true);
      const bool late = third_at >= 0 && fleet.now() > third_at + kReportTime;
      seen.cost.sends_after += sent && late ? 1 : 0;
      next_bad += 1.1;
    }
    for (const std::string& body : fleet.TakeInterrupted()) {
      if (body == "crashing") {
        ++seen.cost.ended;
      } else {
        ask(body);
      }
    }
    if (third_at < 0 && seen.cost.ended >= 3) {
      third_at = fleet.now();
    }
    fleet.Advance(0.02);
  }
  return seen;
}

}  // namespace

// clang-format off
TEST_GROUP(CrashFleet) {
};
// clang-format on

TEST(CrashFleet,
     a_request_that_crashes_upstreams_is_sent_at_most_three_more_times) {
  // The request arrives about once a second at any of seven routers, under new
  // ids.
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Cost cost = SimulateCopies(seed, kRouters, 1, 1.1);
    CHECK(cost.sends_after <= kMaxSendsAfter);
    CHECK(cost.ended <= 3 + kMaxSendsAfter);
  }
}

TEST(CrashFleet,
     concurrent_copies_through_ten_routers_do_not_bypass_the_quarantine) {
  // Ten copies are sent before the first termination is known, so no router
  // could have prevented that. From then on they are tried one at a time.
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Cost cost = SimulateCopies(seed, 10, 10, 4);
    CHECK(cost.sends_after <= kMaxSendsAfter);
    CHECK(cost.ended <= 10 + kMaxSendsAfter);
  }
}

TEST(CrashFleet,
     only_the_crashing_request_is_rejected_not_those_that_ran_beside_it) {
  Refused others;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const MixedOutcome seen = SimulateMixedCallers(seed);
    CHECK(seen.cost.sends_after <= kMaxSendsAfter);
    CHECK(seen.cost.ended <= 3 + kMaxSendsAfter);
    others.asked += seen.others.asked;
    others.refused += seen.others.refused;
  }
  CHECK(others.refused * 500 <= others.asked);
}

TEST(CrashFleet, other_requests_are_served_during_unrelated_crashes) {
  Refused all;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Refused seen = SimulateUnrelatedCrashes(seed);
    all.asked += seen.asked;
    all.refused += seen.refused;
  }
  // The specification allows one legitimate request in 500 to be rejected for
  // good.
  CHECK(all.refused * 500 <= all.asked);
}
