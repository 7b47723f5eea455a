#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "coppervalve/entry/retry_budget_share.h"
#include "partition_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP_BASE(RelayBounds, PartitionFixture) {
  // @return requests that reach the upstreams
  size_t SendRequests(const std::string& path, int count) {
    const size_t before = Requests();
    for (int i = 0; i < count; ++i) {
      router.SendRequest(path + std::to_string(i));
    }
    return Requests() - before;
  }
};
// clang-format on

// Guards against a relay through which an upstream gets more than its limit.
TEST(RelayBounds, the_stated_limit_of_an_upstream_applies_through_a_relay) {
  AddUpstreams("hold", 3);
  for (ScriptedUpstream* upstream : upstreams) {
    upstream->Answer([](const StreamRef& stream, const std::string& request) {
      stream->Send(SignedWithLimit(request, 0.5));
    });
  }
  Start();
  Partition();
  SendRequests("/hold/x", 30);
  for (const ScriptedUpstream* upstream : upstreams) {
    CHECK(!upstream->requests.empty());
    CHECK(upstream->requests.size() <= 2);
  }
}

// Guards against retries without a bound while they pass through a relay.
TEST(RelayBounds, retries_through_a_relay_stay_within_the_retry_budget) {
  AddUpstreams("lookup", 4);
  for (ScriptedUpstream* upstream : upstreams) {
    upstream->Answer([](const StreamRef& stream, const std::string& request) {
      stream->Send(Signed(request, "failed", 500));
    });
  }
  Start();
  Partition();
  constexpr int kRequests = 80;
  const size_t sent = SendRequests("/lookup/x", kRequests);
  const entry::RetryBounds bounds;
  CHECK(sent > kRequests);
  CHECK(static_cast<double>(sent) <=
        kRequests * (1 + bounds.ratio) + bounds.slack);
}
