// A router that reads the upstream table, but not in time.
#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <memory>  // unique_ptr
#include <string>  // string

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP(OutdatedTable) {
  Router router;
  std::unique_ptr<Gateway> peer;
  ScriptedUpstream& one = Upstream("one");

  ScriptedUpstream& Upstream(const std::string& id) {
    ScriptedUpstream& upstream = router.AddUpstream(id, "lookup");
    upstream.Answer([](const StreamRef& stream, const std::string& request) {
      stream->Send(Signed(request, "done"));
    });
    return upstream;
  }
  void StartBoth() {
    router.settings.load_address = FreeAddress();
    router.Start();
    peer = router.StartPeer("router-2");
  }
  void Pass(int millis) {
    router.io.restart();
    router.io.run_for(std::chrono::milliseconds(millis));
  }
  int CountServed(int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = "r-" + std::to_string(i);
      served += Has(router.SendRequest("/lookup/x", {}, id), "HTTP/1.1 200") ? 1 : 0;
    }
    return served;
  }
};
// clang-format on

TEST(OutdatedTable, of_the_only_router_is_used) {
  router.settings.load_address = FreeAddress();
  router.Start();
  router.store.unreadable = "upstreams";
  Pass(2'500);
  CHECK_EQUAL(5, CountServed(5));
}

TEST(OutdatedTable, is_used_if_the_other_routers_have_none_that_is_newer) {
  StartBoth();
  router.store.unreadable = "upstreams";
  Pass(2'500);
  CHECK_EQUAL(5, CountServed(5));
}

TEST(OutdatedTable, of_a_router_is_not_used_while_another_one_reads_it) {
  // Failure: only a router's reads of the table time out, and it sends requests
  // to an upstream that left long ago.
  StartBoth();
  router.store.unreadable = "upstreams";
  router.store.unreadable_to = "router-1";
  ScriptedUpstream& two = Upstream("two");
  router.store.Put("upstreams", "one", "");
  Pass(2'500);
  one.requests.clear();
  CHECK_EQUAL(5, CountServed(5));
  CHECK_EQUAL(0, one.requests.size());
  CHECK_EQUAL(5, two.requests.size());
}
