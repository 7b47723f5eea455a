#include <CppUTest/TestHarness.h>

#include <algorithm>  // max
#include <cstdio>     // printf
#include <map>        // map
#include <random>     // mt19937_64
#include <string>     // string, to_string
#include <vector>     // vector

#include "crash_fleet.h"

using namespace coppervalve::entry::testing;

namespace {

constexpr uint64_t kSeeds = 12;
constexpr size_t kRouters = 6;
constexpr size_t kUpstreams = 18;
constexpr double kSeconds = 40;
constexpr double kStep = 0.02;
// Requirement: later than this after the fifth crash, at most three more
// requests with a part that crashes upstreams reach them.
constexpr double kReportTime = 3;
constexpr size_t kFreeCrashes = 5;
constexpr size_t kMaxSendsAfter = 3;
// Requirement: at most one legitimate request in 500 is rejected for good.
constexpr size_t kMaxRefused = 500;

struct Scenario {
  double crashing_per_second = 0;
  /// Requests with the crashing part have another part that few others have.
  bool companion = false;
  /// Every five seconds this number of upstreams terminates for other causes.
  size_t unrelated = 0;
  size_t documents = 300;
  /// Few other requests come, and none with another first part.
  bool night = false;
};

struct Outcome {
  size_t ended = 0;
  size_t sends_after = 0;
  size_t asked = 0;
  size_t refused = 0;
  /// Parts that were refused at any router at any time, without the cause.
  std::map<std::string, size_t> refused_parts;

  void Add(const Outcome& other) {
    ended += other.ended;
    sends_after = std::max(sends_after, other.sends_after);
    asked += other.asked;
    refused += other.refused;
    refused_parts.insert(other.refused_parts.begin(),
                         other.refused_parts.end());
  }
};

class Simulation {
 public:
  Simulation(uint64_t seed, const Scenario& scenario)
      : m_fleet(seed, kRouters, kUpstreams),
        m_random(seed),
        m_scenario(scenario) {}

  Outcome Run() {
    double next_crashing = 3;
    double next_unrelated = 3;
    double next_sound = 3;
    while (m_fleet.now() < kSeconds) {
      for (int i = 0; i < 3 && !m_scenario.night; ++i) {
        AskSound();
      }
      if (m_scenario.night && m_fleet.now() > next_sound) {
        AskSound();
        next_sound += 3;
      }
      if (m_scenario.crashing_per_second > 0 && m_fleet.now() > next_crashing) {
        AskCrashing();
        next_crashing += 1 / m_scenario.crashing_per_second;
      }
      if (m_scenario.unrelated != 0 && m_fleet.now() > next_unrelated) {
        m_fleet.TerminateRandom(m_scenario.unrelated);
        next_unrelated += 5;
      }
      m_fleet.TakeInterrupted();
      m_fleet.Advance(kStep);
      if (m_fifth_at < 0 && m_fleet.ended_by_requests() >= kFreeCrashes) {
        m_fifth_at = m_fleet.now();
      }
    }
    m_seen.ended = m_fleet.ended_by_requests();
    return m_seen;
  }

 private:
  std::string OwnBody() { return "own " + std::to_string(++m_number); }

  // All prompts begin with the same part; one in ten quotes a popular document.
  void AskSound() {
    std::vector<std::string> parts{"system"};
    if (m_scenario.companion && m_random() % 75 == 0) {
      parts.emplace_back("companion");
    }
    parts.push_back(
        m_random() % 10 == 0
            ? "popular"
            : "document " + std::to_string(m_random() % m_scenario.documents));
    ++m_seen.asked;
    if (!m_fleet.Send(m_fleet.RandomRouter(), OwnBody(), false, parts)) {
      ++m_seen.refused;
      for (const std::string& part : parts) {
        if (m_fleet.RoutersThatRefuse(part) != 0) {
          ++m_seen.refused_parts[part];
        }
      }
    }
  }

  void AskCrashing() {
    std::vector<std::string> parts{"system"};
    if (m_scenario.companion) {
      parts.emplace_back("companion");
    }
    parts.emplace_back("crashing");
    const bool sent =
        m_fleet.Send(m_fleet.RandomRouter(), OwnBody(), true, parts);
    const bool late =
        m_fifth_at >= 0 && m_fleet.now() > m_fifth_at + kReportTime;
    m_seen.sends_after += sent && late ? 1 : 0;
  }

  CrashFleet m_fleet;
  std::mt19937_64 m_random;
  Scenario m_scenario;
  Outcome m_seen;
  size_t m_number = 0;
  double m_fifth_at = -1;
};

Outcome RunAll(const char* name, const Scenario& scenario) {
  Outcome all;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    all.Add(Simulation(seed, scenario).Run());
  }
  std::printf(
      "%s: %zu ended, most sends after %zu, %zu of %zu refused, %zu "
      "other parts refused\n",
      name, all.ended, all.sends_after, all.refused, all.asked,
      all.refused_parts.size());
  return all;
}

void CheckCrashingPart(const char* name, const Scenario& scenario) {
  const Outcome all = RunAll(name, scenario);
  CHECK(all.ended >= kSeeds);
  CHECK(all.sends_after <= kMaxSendsAfter);
  CHECK(all.refused * kMaxRefused <= all.asked);
}

}  // namespace

// clang-format off
TEST_GROUP(CrashParts) {
};
// clang-format on

TEST(CrashParts, a_part_that_crashes_upstreams_is_refused_and_no_other) {
  for (const double rate : {0.3, 1.0, 2.0, 5.0}) {
    Scenario scenario;
    scenario.crashing_per_second = rate;
    CheckCrashingPart(std::to_string(rate).c_str(), scenario);
  }
}

TEST(CrashParts, a_part_that_half_of_the_time_comes_with_it_is_not_refused) {
  Scenario scenario;
  scenario.crashing_per_second = 2;
  scenario.companion = true;
  CheckCrashingPart("companion", scenario);
}

TEST(CrashParts, at_night_requests_with_the_first_part_are_served_again) {
  // Requirement: sound requests begin at least half as often as otherwise.
  Scenario scenario;
  scenario.crashing_per_second = 2;
  scenario.night = true;
  const Outcome all = RunAll("night", scenario);
  CHECK(all.sends_after <= kMaxSendsAfter);
  CHECK(all.refused * 2 <= all.asked);
}

TEST(CrashParts, a_part_is_found_among_unrelated_crashes) {
  Scenario scenario;
  scenario.crashing_per_second = 1;
  scenario.unrelated = 3;
  CheckCrashingPart("among unrelated", scenario);
}

TEST(CrashParts, unrelated_crashes_are_held_against_no_part) {
  for (const size_t documents : {30U, 300U, 3'000U}) {
    Scenario scenario;
    scenario.unrelated = 6;
    scenario.documents = documents;
    const Outcome all =
        RunAll(("unrelated, documents " + std::to_string(documents)).c_str(),
               scenario);
    CHECK_EQUAL(0, all.ended);
    CHECK(all.refused * kMaxRefused <= all.asked);
  }
}
