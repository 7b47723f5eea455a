#include "coppervalve/entry/working_set.h"

#include <CppUTest/TestHarness.h>

#include <set>     // set
#include <string>  // to_string

#include "coppervalve/entry/placement.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr int kEngines = 2'000;
constexpr int kDomains = 5;
const core::ServiceId kService("engines");

/// One router before a service of thousands of engines.
struct Router {
  explicit Router(const std::string& domain, uint64_t seed)
      : draw(seed),
        placer({}, core::FailureDomainId(domain), peers, gate, [this] {
          return draw += 0x9e3779b97f4a7c15;
        }) {
    for (int i = 0; i < kEngines; ++i) {
      UpstreamEntry entry = EntryOf("e" + std::to_string(i), "engines");
      entry.slots = 12;
      entry.failure_domain =
          core::FailureDomainId("fd-" + std::to_string(i % kDomains));
      directory.OnRecord(RecordOf(entry));
    }
  }

  UpstreamRef Choose(int request, double at) {
    PlacementQuery query;
    query.service = kService;
    query.engine = true;
    query.prompt = core::Tokens(600);
    query.shared_prefix = "session-" + std::to_string(request);
    query.shared_tokens = core::Tokens(100);
    return placer.Choose(directory, query, At(at)).upstream;
  }

  uint64_t draw;
  UpstreamDirectory directory{DirectoryOptions{}};
  PeerLoads peers{core::Duration(800'000)};
  UpstreamGate gate;
  Placer placer;
};

}  // namespace

// clang-format off
TEST_GROUP(WorkingSet) {};
// clang-format on

TEST(WorkingSet, a_small_load_uses_few_of_many_upstreams) {
  // Guards against a connection to each of thousands of engines and a cold
  // prefix cache at nearly every request.
  Router router("fd-0", 1);
  std::set<core::UpstreamId> used;
  std::set<core::FailureDomainId> domains;
  for (int i = 0; i < 3'000; ++i) {
    const UpstreamRef chosen = router.Choose(i, 1);
    used.insert(chosen->entry.id);
    domains.insert(chosen->entry.failure_domain);
  }
  CHECK(used.size() <= WorkingSetOptions{}.min_size);
  CHECK_EQUAL(kDomains, domains.size());
}

TEST(WorkingSet, routers_agree_on_the_upstreams_in_use) {
  Router one("fd-0", 1);
  Router other("fd-3", 77);
  for (int i = 0; i < 300; ++i) {
    CHECK(one.Choose(i, 1)->entry.id == other.Choose(i, 1)->entry.id);
  }
}

TEST(WorkingSet, a_burst_is_spread_over_as_many_upstreams_as_it_needs) {
  // A fixed set would queue a burst at a few engines while thousands are idle.
  Router router("fd-0", 1);
  std::set<core::UpstreamId> used;
  for (int i = 0; i < 1'500; ++i) {
    const UpstreamRef chosen = router.Choose(i, 1);
    ++chosen->in_flight;
    CHECK(chosen->in_flight <= chosen->entry.slots);
    used.insert(chosen->entry.id);
  }
  CHECK(used.size() >= 750);
}

TEST(WorkingSet, upstreams_that_left_are_replaced) {
  // A failure domain with a fifth of the upstreams is lost.
  Router router("fd-0", 1);
  for (int i = 0; i < kEngines; i += kDomains) {
    router.directory.OnRecord(Unreadable("e" + std::to_string(i)));
  }
  std::set<core::UpstreamId> used;
  for (int i = 0; i < 3'000; ++i) {
    const UpstreamRef chosen = router.Choose(i, 1);
    CHECK(chosen->entry.failure_domain != core::FailureDomainId("fd-0"));
    used.insert(chosen->entry.id);
  }
  CHECK(used.size() > WorkingSetOptions{}.min_size * 9 / 10);
}

TEST(WorkingSet, a_set_shrinks_slowly) {
  WorkingSets sets;
  sets.OnLoad(kService, 1'000, At(1));
  const size_t peak = sets.SizeOf(kService);
  CHECK(peak >= 1'000);
  sets.OnLoad(kService, 1, At(5));
  CHECK_EQUAL(peak, sets.SizeOf(kService));
  sets.OnLoad(kService, 1, At(40));
  CHECK_EQUAL(peak / 2, sets.SizeOf(kService));
  for (int minute = 2; minute < 60; ++minute) {
    sets.OnLoad(kService, 1, At(60.0 * minute));
  }
  CHECK_EQUAL(WorkingSetOptions{}.min_size, sets.SizeOf(kService));
}
