#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "partition_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

// Only the end of the connection shows that this response is complete.
std::string UnframedStreamHead(const std::string& request) {
  std::string head = SignedStreamHead(request);
  head.erase(head.find("Transfer-Encoding"));
  return head + "\r\n";
}

}  // namespace

TEST_GROUP_BASE(PartialPartition, PartitionFixture){};

TEST_GROUP_BASE(SomeUpstreams, PartitionFixture){};

// Guards against requests that fail because a router's open connections still
// work, while it can't open the new ones that more requests need.
TEST(PartialPartition, open_connections_live_on_while_new_ones_are_refused) {
  AddUpstreams("hold", 4);
  Start();
  const int before = ServedAtOnce("/hold/a", 4);
  CHECK_EQUAL(4, before);
  Partition();
  constexpr int kRequests = 20;
  const int at_once = ServedAtOnce("/hold/b", kRequests);
  CHECK_EQUAL(kRequests, at_once);
  const int in_turn = Served("/hold/c", kRequests);
  CHECK_EQUAL(kRequests, in_turn);
}

// Guards against a router that asks only other partitioned routers.
TEST(PartialPartition, one_router_of_three_that_is_left_relays_for_the_others) {
  AddUpstreams("hold", 4);
  Start();
  router.settings.upstream_address = nullptr;
  const auto third = router.StartPeer("router-3");
  Partition();
  peer_partitioned_to = partitioned_to;
  const int served = Served("/hold/b", 20);
  CHECK_EQUAL(20, served);
}

// Guards against a router that relays everything because some upstreams can't
// be reached.
TEST(SomeUpstreams, upstreams_that_are_left_are_used_directly) {
  AddUpstreams("hold", 6);
  Start();
  is_partitioned = [this](const std::string& address) {
    return address != upstreams[0]->address() &&
           address != upstreams[1]->address();
  };
  Partition();
  const int first = Served("/hold/b", 20);
  CHECK_EQUAL(20, first);
  CHECK(upstreams[0]->connections + upstreams[1]->connections > 0);
  const int relayed = peer_dialed;
  const int later = Served("/hold/c", 20);
  CHECK_EQUAL(20, later);
  CHECK(peer_dialed - relayed <= 2);
}

// Guards against a partition from one service that slows the others.
TEST(PartialPartition, services_that_are_reached_are_used_directly) {
  AddUpstreams("hold", 4);
  AddUpstreams("lookup", 4);
  Start();
  is_partitioned = [this](const std::string& address) {
    return address == upstreams[0]->address() ||
           address == upstreams[1]->address() ||
           address == upstreams[2]->address() ||
           address == upstreams[3]->address();
  };
  Partition();
  const int holds = Served("/hold/b", 10);
  CHECK_EQUAL(10, holds);
  const int relayed = peer_dialed;
  const int lookups = Served("/lookup/b", 10);
  CHECK_EQUAL(10, lookups);
  CHECK_EQUAL(relayed, peer_dialed);
}

// Guards against a request that is quarantined on the word of a router that is
// partitioned as well.
TEST(PartialPartition, two_partitioned_routers_of_three_blame_no_request) {
  AddUpstreams("hold", 6);
  PartitionDuringRequests(/*peer_too=*/true);
  Start();
  router.settings.upstream_address = nullptr;
  const auto third = router.StartPeer("router-3");
  for (int i = 0; i < 6; ++i) {
    router.SendRequest("/hold/x" + std::to_string(i));
  }
  const int crashes = ReportedCrashes();
  CHECK_EQUAL(0, crashes);
}

// Guards against a partition that is never noticed, because it takes more
// upstreams to show it than may be tried.
TEST(SomeUpstreams, an_evacuation_does_not_hide_a_partition) {
  AddUpstreams("hold", 4);
  for (const size_t evacuated : {size_t{2}, size_t{3}}) {
    router.SetUpstream("hold-" + std::to_string(evacuated),
                       "hold " + upstreams[evacuated]->address() + " 0 fd-x");
  }
  router.store.Put("config", "evacuate/fd-x", "{}");
  Start();
  Partition();
  const int served = Served("/hold/x", 10);
  CHECK_EQUAL(10, served);
}

// Guards against a stream that its upstream's crash cut between two events, and
// that looks complete as the relay, partitioned as well, declined to check it.
TEST(PartialPartition,
     a_relayed_stream_whose_end_nobody_checks_is_not_complete) {
  AddUpstreams("talk", 4);
  StreamRef open;
  ScriptedUpstream* writer = nullptr;
  for (ScriptedUpstream* upstream : upstreams) {
    upstream->Answer([&open, &writer, upstream](const StreamRef& stream,
                                                const std::string& request) {
      if (!Has(request, "/talk/stream")) {
        stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
        return;
      }
      open = stream;
      writer = upstream;
      stream->Send(UnframedStreamHead(request) + Event(1));
    });
  }
  Start();
  Partition();
  for (int i = 0; i < 8; ++i) {
    router.SendRequest("/talk/x" + std::to_string(i));
  }
  const std::unique_ptr<TestCaller> caller = router.Caller();
  caller->Send(Router::RequestText("/talk/stream", {}, "r-stream"));
  CHECK(router.Until([&] { return open && Has(caller->received, "data"); }));
  peer_partitioned_to = FreeAddress();
  TestCaller of_peer(router.io, router.peer_address);
  of_peer.Send(Router::RequestText("/talk/y", {}, "r-peer"));
  CHECK(router.Until([&] { return Has(of_peer.received, "HTTP/1.1"); }));
  writer->StopListening();
  open->CloseWhenSent();
  const auto looks_complete = [&] {
    return Has(caller->received, "\r\n0\r\n\r\n");
  };
  CHECK(router.Until([&] { return caller->ended || looks_complete(); }));
  CHECK_FALSE(looks_complete());
}

// Guards against crashes in series that a router takes for a partition, so that
// it relays, or refuses, what it could send itself.
TEST(PartialPartition,
     upstreams_that_crash_one_after_the_other_are_no_partition) {
  AddUpstreams("hold", 10);
  Start();
  Served("/hold/a", 30);
  constexpr int kCrashed = 5;
  const std::vector<ScriptedUpstream*> crashed(upstreams.begin(),
                                               upstreams.begin() + kCrashed);
  for (ScriptedUpstream* upstream : crashed) {
    upstream->StopListening();
    upstream->Answer(
        [](const StreamRef& stream, const std::string&) { stream->Abort(); });
  }
  const int before = peer_dialed;
  const int served = Served("/hold/b", 300);
  CHECK(served >= 300 - kCrashed);
  // The other router confirms each crash, and relays nothing.
  CHECK(peer_dialed - before <= 2 * kCrashed);
}
