#include <CppUTest/TestHarness.h>

#include <algorithm>  // max
#include <map>        // map
#include <memory>     // make_shared
#include <random>     // mt19937_64
#include <string>     // string, to_string
#include <vector>     // vector

#include "coppervalve/entry/placement_search.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

/// @brief A large fleet, some of whose routers the store turns away while
/// upstreams leave.
struct Scenario {
  uint64_t seed = 1;
  size_t routers = 985;
  size_t active = 5;
  size_t next = 5;
  size_t active_turned_away = 0;
  size_t next_turned_away = 0;
  double drain_bound = 5;
  double lost_datagrams = 0.01;
};

struct Outcome {
  size_t requests = 0;
  size_t placed = 0;
  /// Longest time between the end of an upstream's work for new requests, as
  /// the store has it, and a request that a standby sends to it.
  double latest = 0;
};

constexpr double kTurnedAwayFrom = 2.5;
constexpr double kTurnedAwayTo = 11.5;
constexpr double kListSeconds = 1;
constexpr double kReadSeconds = 0.5;  // until a record is read
constexpr size_t kUpstreams = 400;
constexpr double kFirstLeaves = 2;
constexpr double kLeavesEvery = 0.1;
constexpr double kReplySeconds = 0.003;
constexpr double kRequestsPerSecond = 700;

double LeavesAt(size_t upstream) {
  return kFirstLeaves + kLeavesEvery * static_cast<double>(upstream);
}

/// @brief One simulation, in virtual time.
class PlacementFleetRun {
 public:
  explicit PlacementFleetRun(const Scenario& scenario)
      : m_scenario(scenario),
        m_drain_bound(At(scenario.drain_bound) - At(0)),
        m_generator(scenario.seed) {
    for (size_t i = 0; i < scenario.active; ++i) {
      AddFollower(m_peers.active, "active-" + std::to_string(i),
                  i < scenario.active_turned_away);
    }
    for (size_t i = 0; i < scenario.next; ++i) {
      AddFollower(m_peers.next, "next-" + std::to_string(i),
                  i < scenario.next_turned_away);
    }
  }

  Outcome Run() {
    std::vector<OutdatedPeers> standbys(m_scenario.routers - m_scenario.active -
                                        m_scenario.next);
    for (double now = 0; now < kTurnedAwayTo + 2 * kListSeconds;
         now += 1 / kRequestsPerSecond) {
      Place(standbys[m_generator() % standbys.size()], now);
    }
    return m_outcome;
  }

 private:
  void AddFollower(std::vector<std::string>& kind,
                   const std::string& address,
                   bool turned_away) {
    kind.push_back(address);
    m_turned_away[address] = turned_away;
  }
  double Fraction() {
    return std::uniform_real_distribution<double>()(m_generator);
  }
  double KnownUntil(const std::string& address, double now) const {
    const bool blind = m_turned_away.at(address) && now >= kTurnedAwayFrom &&
                       now < kTurnedAwayTo + kListSeconds;
    return (blind ? kTurnedAwayFrom : now) - kReadSeconds;
  }
  // Any upstream that is not known to leave.
  Placement Reply(const std::string& address, double now) {
    const double known_until = KnownUntil(address, now);
    size_t upstream = m_generator() % kUpstreams;
    while (LeavesAt(upstream) < known_until) {
      upstream = m_generator() % kUpstreams;
    }
    Placement placement;
    placement.upstream = std::make_shared<Upstream>();
    placement.upstream->entry.id = core::UpstreamId(std::to_string(upstream));
    placement.table.age = At(now) - At(known_until);
    placement.table.outdated = placement.table.age > MaxTableAge(m_drain_bound);
    return placement;
  }
  void Place(OutdatedPeers& outdated, double now) {
    PlacementSearch search(m_peers, outdated, true, At(now));
    const routing::RandomSource random = [this] { return m_generator(); };
    while (const auto address = search.Next(random)) {
      now += kReplySeconds;
      const bool lost = Fraction() < m_scenario.lost_datagrams;
      const Placement reply = lost ? Placement() : Reply(*address, now);
      outdated.OnReply(*address, reply.upstream && !reply.table.outdated,
                       At(now));
      search.OnReply(reply);
    }
    Count(search.Result(), now);
  }
  void Count(const Placement& placement, double now) {
    ++m_outcome.requests;
    if (!placement.upstream) {
      return;
    }
    ++m_outcome.placed;
    const size_t upstream = std::stoul(placement.upstream->entry.id.value());
    m_outcome.latest = std::max(m_outcome.latest, now - LeavesAt(upstream));
  }

  Scenario m_scenario;
  core::Duration m_drain_bound;
  std::mt19937_64 m_generator;
  PlacementPeers m_peers;
  std::map<std::string, bool> m_turned_away;
  Outcome m_outcome;
};

Outcome Simulate(Scenario scenario) {
  constexpr uint64_t kSeeds = 10;
  Outcome sum;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const Outcome one = PlacementFleetRun(scenario).Run();
    sum.requests += one.requests;
    sum.placed += one.placed;
    sum.latest = std::max(sum.latest, one.latest);
  }
  return sum;
}

double Share(const Outcome& outcome) {
  return static_cast<double>(outcome.placed) /
         static_cast<double>(outcome.requests);
}

}  // namespace

// clang-format off
TEST_GROUP(PlacementFleet) {};
// clang-format on

TEST(PlacementFleet,
     no_standby_sends_to_an_upstream_that_left_while_active_ones_are_rejected) {
  // Failure: all routers that a standby asks are turned away by the store, and
  // it sends to an upstream that left long ago.
  for (const size_t rejected : {2U, 3U, 4U, 5U}) {
    Scenario scenario;
    scenario.active_turned_away = rejected;
    const Outcome outcome = Simulate(scenario);
    CHECK(outcome.latest <= scenario.drain_bound);
    CHECK(Share(outcome) > 0.99);
  }
}

TEST(PlacementFleet, holds_for_the_bounds_of_all_sites) {
  for (const double bound : {2, 3, 5}) {
    Scenario scenario;
    scenario.drain_bound = bound;
    scenario.active_turned_away = 3;
    const Outcome outcome = Simulate(scenario);
    CHECK(outcome.latest <= scenario.drain_bound);
    CHECK(Share(outcome) > 0.99);
  }
}

TEST(PlacementFleet, holds_at_the_size_to_design_for_and_at_twice_that) {
  for (const size_t size : {1U, 2U}) {
    Scenario scenario;
    scenario.routers = 840 * size;
    scenario.active = 64 * size;
    scenario.next = 64 * size;
    scenario.active_turned_away = scenario.active / 2;
    scenario.next_turned_away = scenario.next / 2;
    const Outcome outcome = Simulate(scenario);
    CHECK(outcome.latest <= scenario.drain_bound);
    CHECK(Share(outcome) > 0.99);
  }
}

TEST(PlacementFleet, requests_are_refused_if_no_follower_has_a_current_table) {
  Scenario scenario;
  scenario.active_turned_away = scenario.active;
  scenario.next_turned_away = scenario.next;
  const Outcome outcome = Simulate(scenario);
  CHECK(outcome.latest <= scenario.drain_bound);
  // The store turns them away in 10 of 13.5 s, and their tables are current for
  // some seconds more.
  CHECK(Share(outcome) > 0.25);
}

// clang-format off
TEST_GROUP(PlacementSearch) {
  PlacementPeers peers{{"a", "b"}, {"c"}};
  OutdatedPeers outdated;
  uint64_t draw = 0;
  const routing::RandomSource random = [this] { return draw++; };

  static Placement Named(const std::string& id, bool outdated, int age_seconds) {
    Placement placement;
    placement.upstream = std::make_shared<Upstream>();
    placement.upstream->entry.id = core::UpstreamId(id);
    placement.table.outdated = outdated;
    placement.table.age = core::Duration(age_seconds * 1'000'000);
    return placement;
  }
  PlacementSearch Search(bool reaches_store) {
    return {peers, outdated, reaches_store, At(1)};
  }
  std::string Id(const PlacementSearch& search) {
    const Placement placement = search.Result();
    return placement.upstream ? placement.upstream->entry.id.value() : "";
  }
};
// clang-format on

TEST(PlacementSearch, ends_with_the_first_reply_from_a_current_table) {
  PlacementSearch search = Search(true);
  CHECK(search.Next(random).has_value());
  search.OnReply(Named("old", true, 9));
  CHECK(search.Next(random).has_value());
  search.OnReply(Named("new", false, 1));
  CHECK_FALSE(search.Next(random).has_value());
  STRCMP_EQUAL("new", Id(search).c_str());
}

TEST(PlacementSearch, asks_the_next_standbys_after_all_active_routers) {
  PlacementSearch search = Search(true);
  for (int i = 0; i < 2; ++i) {
    CHECK(*search.Next(random) != "c");
    search.OnReply(Named("old", true, 9));
  }
  STRCMP_EQUAL("c", search.Next(random)->c_str());
}

TEST(PlacementSearch, asks_routers_without_a_current_table_last) {
  outdated.OnReply("a", false, At(0.5));
  outdated.OnReply("b", false, At(0.5));
  PlacementSearch search = Search(true);
  STRCMP_EQUAL("c", search.Next(random)->c_str());
  search.OnReply(Named("old", true, 9));
  CHECK(search.Next(random).has_value());
}

TEST(PlacementSearch, a_router_is_asked_first_again_after_some_seconds) {
  outdated.OnReply("a", false, At(-2));
  outdated.OnReply("b", false, At(0.5));
  outdated.OnReply("b", true, At(0.6));
  CHECK_FALSE(outdated.Contains("a", At(1)));
  CHECK_FALSE(outdated.Contains("b", At(1)));
}

TEST(PlacementSearch, uses_the_most_recent_table_in_an_outage_of_the_store) {
  PlacementSearch search = Search(false);
  for (const int age : {9, 6, 8}) {
    CHECK(search.Next(random).has_value());
    search.OnReply(Named(std::to_string(age), true, age));
  }
  CHECK_FALSE(search.Next(random).has_value());
  STRCMP_EQUAL("6", Id(search).c_str());
}

TEST(PlacementSearch, asks_one_router_if_all_were_outdated_in_an_outage) {
  // Failure: in an outage each request waits for the replies of all routers.
  for (const char* address : {"a", "b", "c"}) {
    outdated.OnReply(address, false, At(0.5));
  }
  PlacementSearch search = Search(false);
  CHECK(search.Next(random).has_value());
  search.OnReply(Named("old", true, 9));
  CHECK_FALSE(search.Next(random).has_value());
}

TEST(PlacementSearch, uses_no_outdated_table_while_the_store_answers) {
  PlacementSearch search = Search(true);
  while (search.Next(random)) {
    search.OnReply(Named("old", true, 9));
  }
  STRCMP_EQUAL("", Id(search).c_str());
  CHECK(PlacementReason::kTableOutdated == search.Result().why);
}
