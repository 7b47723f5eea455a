#include "coppervalve/entry/active_set.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // count, reverse
#include <set>        // set
#include <string>     // string

using namespace coppervalve;
using namespace coppervalve::entry;

namespace {

constexpr double kLarge = 250;
constexpr double kSmall = 25;

// Two large and twenty small routers in each of three failure domains.
std::vector<Candidate> Fleet() {
  std::vector<Candidate> fleet;
  for (const char domain : {'a', 'b', 'c'}) {
    for (int i = 0; i < 22; ++i) {
      const std::string name = std::string(1, domain) + std::to_string(i);
      fleet.push_back({core::RouterId(name),
                       core::FailureDomainId(std::string(1, domain)),
                       i >= 20 ? kLarge : kSmall});
    }
  }
  return fleet;
}

std::set<core::RouterId> Chosen(std::vector<Candidate> fleet, double load) {
  ActiveSetRequirements need;
  need.requests_per_second = load;
  const auto chosen = SelectActiveNames(std::move(fleet), need);
  return {chosen.begin(), chosen.end()};
}

size_t InDomain(const std::set<core::RouterId>& chosen, char domain) {
  size_t count = 0;
  for (const core::RouterId& router : chosen) {
    count += router.value().front() == domain ? 1 : 0;
  }
  return count;
}

}  // namespace

// clang-format off
TEST_GROUP(ActiveSet){};
// clang-format on

TEST(ActiveSet, the_most_capable_routers_of_each_domain_are_selected_first) {
  const auto chosen = Chosen(Fleet(), 100);
  CHECK_EQUAL(8, chosen.size());
  for (const char* name : {"a20", "a21", "b20", "b21", "c20", "c21"}) {
    CHECK(chosen.contains(core::RouterId(name)));
  }
}

TEST(ActiveSet, selection_is_balanced_over_failure_domains) {
  const auto chosen = Chosen(Fleet(), 1'800);
  CHECK(chosen.size() > 12);
  CHECK(InDomain(chosen, 'a') - InDomain(chosen, 'b') + 1 <= 2);
  CHECK(InDomain(chosen, 'b') - InDomain(chosen, 'c') + 1 <= 2);
}

TEST(ActiveSet, an_excessive_load_selects_all_routers) {
  CHECK_EQUAL(66, Chosen(Fleet(), 1e9).size());
}

TEST(ActiveSet, few_routers_are_all_active) {
  std::vector<Candidate> few = Fleet();
  few.resize(6);
  CHECK_EQUAL(6, Chosen(few, 0).size());
  CHECK_EQUAL(0, Chosen({}, 10).size());
}

TEST(ActiveSet, the_order_of_the_candidates_does_not_matter) {
  // Routers with different selections would redirect callers back and forth.
  std::vector<Candidate> reversed = Fleet();
  std::reverse(reversed.begin(), reversed.end());
  CHECK(Chosen(Fleet(), 700) == Chosen(reversed, 700));
}

TEST(ActiveSet, other_domains_replace_a_lost_domain) {
  std::vector<Candidate> fleet = Fleet();
  std::erase_if(fleet, [](const Candidate& candidate) {
    return candidate.failure_domain.value() == "a";
  });
  const auto chosen = Chosen(fleet, 1'000);
  double capacity = 0;
  for (const Candidate& candidate : fleet) {
    capacity += chosen.contains(candidate.router) ? candidate.capacity : 0;
  }
  CHECK(capacity >= 1'000);
}
