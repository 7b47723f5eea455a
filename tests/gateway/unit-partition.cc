#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/address.hpp>  // make_address
#include <chrono>                     // milliseconds
#include <memory>                     // make_shared, unique_ptr
#include <optional>                   // optional
#include <string>                     // string
#include <vector>                     // vector

#include "coppervalve/gateway/relay_tunnel.h"
#include "coppervalve/net/endpoint.h"
#include "partition_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

using boost::asio::ip::tcp;

// An address on which connections neither open nor fail: its queue of new
// connections is full.
class BlackHole {
 public:
  explicit BlackHole(boost::asio::io_context& io)
      : m_address(FreeAddress()), m_acceptor(io) {
    const auto endpoint = net::ReadEndpoint(m_address);
    const tcp::endpoint local(boost::asio::ip::make_address(endpoint->ip),
                              endpoint->port);
    m_acceptor.open(local.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(local);
    m_acceptor.listen(0);
    constexpr int kMoreThanTheQueue = 4;
    for (int i = 0; i < kMoreThanTheQueue; ++i) {
      m_fillers.push_back(std::make_unique<tcp::socket>(io));
      m_fillers.back()->async_connect(local, [](const auto& /*code*/) {});
    }
    io.run_for(std::chrono::milliseconds(20));
  }
  const std::string& address() const { return m_address; }

 private:
  std::string m_address;
  tcp::acceptor m_acceptor;
  std::vector<std::unique_ptr<tcp::socket>> m_fillers;
};

}  // namespace

TEST_GROUP_BASE(Partition, PartitionFixture){};

// Guards against a router that refuses its callers because it has lost all
// upstreams, while another router reaches them.
TEST(Partition, a_router_without_upstreams_serves_through_another_router) {
  AddUpstreams("hold", 3);
  AddUpstreams("lookup", 3);
  Start();
  CHECK_EQUAL(2, Served("/hold/a", 2));
  Partition();
  CHECK_EQUAL(10, Served("/hold/b", 10));
  CHECK_EQUAL(10, Served("/lookup/b", 10));
}

// Guards against the same where connections hang.
TEST(Partition, a_router_whose_connections_hang_serves_through_another) {
  AddUpstreams("hold", 3);
  Start();
  const BlackHole black_hole(router.io);
  partitioned_to = black_hole.address();
  CHECK_EQUAL(5, Served("/hold/x", 5));
}

// Guards against requests that are held while connections to one upstream after
// the other hang, and no other router can be asked.
TEST(Partition, a_router_alone_refuses_soon_if_all_connections_hang) {
  constexpr int kUpstreams = 16;
  AddUpstreams("hold", kUpstreams);
  const BlackHole black_hole(router.io);
  router.settings.upstream_address = [&](const std::string&) {
    ++dialed;
    return black_hole.address();
  };
  router.Start();
  const std::string answer = router.SendRequest("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(dialed < kUpstreams);
}

// Guards against requests that are held, or sent to and fro, when no router
// reaches a service.
TEST(Partition, requests_are_refused_soon_if_no_router_reaches_the_service) {
  AddUpstreams("hold", 3);
  Start();
  Partition();
  peer_partitioned_to = partitioned_to;
  constexpr int kRequests = 10;
  dialed = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string answer =
        router.SendRequest("/hold/x" + std::to_string(i));
    CHECK(Has(answer, "HTTP/1.1 503"));
    CHECK(Has(answer, "Retry-After"));
  }
  // One each, and two more until the partition is noticed.
  CHECK(dialed <= kRequests + 2);
  CHECK(peer_dialed <= 3);
  CHECK_EQUAL(0, Requests());
}

// Guards against a router that keeps using others after the partition.
TEST(Partition, a_router_uses_its_own_connections_again_after_the_partition) {
  AddUpstreams("hold", 3);
  Start();
  Partition();
  CHECK_EQUAL(3, Served("/hold/x", 3));
  partitioned_to.clear();
  // The router checks twice a second.
  router.io.run_for(std::chrono::milliseconds(1'000));
  const int before = dialed;
  peer_partitioned_to = FreeAddress();
  CHECK_EQUAL(10, Served("/hold/z", 10));
  CHECK(dialed > before);
}

// Guards against a request that runs twice, or is called "not run", because
// the router that relays it ends.
TEST(Partition, a_request_may_have_run_if_its_relay_ends) {
  AddUpstreams("hold", 3);
  for (ScriptedUpstream* upstream : upstreams) {
    upstream->Answer(nullptr);
  }
  Start();
  Partition();
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([this] { return Requests() == 1; }));
  peer.reset();
  CHECK(router.Until([&] { return Has(caller->received, "HTTP/1.1 502"); }));
  CHECK_EQUAL(1, Requests());
}

// Guards against an upstream that works on for a caller who has left.
TEST(Partition, the_upstream_is_told_when_the_caller_disconnects) {
  AddUpstreams("hold", 1);
  upstreams.front()->Answer(nullptr);
  Start();
  Partition();
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([this] { return Requests() == 1; }));
  caller->Disconnect();
  CHECK(router.Until([this] { return upstreams.front()->closed == 1; }));
}

// Guards against a relay that ends while it serves other routers.
TEST(Partition, a_router_that_leaves_finishes_what_it_relays) {
  AddUpstreams("hold", 3);
  std::vector<StreamRef> waiting;
  for (ScriptedUpstream* upstream : upstreams) {
    upstream->Answer([&waiting](const StreamRef& stream, const std::string&) {
      waiting.push_back(stream);
    });
  }
  Start();
  Partition();
  const auto caller = router.Caller();
  const std::string request = Router::RequestText("/hold/x", {}, "r-1");
  caller->Send(request);
  CHECK(router.Until([&] { return waiting.size() == 1; }));
  bool left = false;
  peer->Drain([&left] { left = true; });
  router.io.run_for(std::chrono::milliseconds(4'500));
  CHECK_FALSE(left);
  waiting.front()->Send(Signed(request, "done"));
  CHECK(router.Until([&] { return Has(caller->received, "done"); }));
  CHECK(router.Until([&] { return left; }));
}

// Guards against a request that is refused by all routers as one that crashes
// upstreams, because a partition broke it off.
TEST(Partition, a_broken_off_request_is_not_blamed_for_the_partition) {
  AddUpstreams("hold", 3);
  PartitionDuringRequests(/*peer_too=*/false);
  Start();
  CHECK(Has(router.SendRequest("/hold/x"), "HTTP/1.1 502"));
  CHECK_EQUAL(0, ReportedCrashes());
}

// Guards against a second opinion that hides crashes.
TEST(Partition, a_crash_that_another_router_sees_too_is_reported) {
  AddUpstreams("hold", 3);
  PartitionDuringRequests(/*peer_too=*/true);
  Start();
  CHECK(Has(router.SendRequest("/hold/x"), "HTTP/1.1 502"));
  CHECK_EQUAL(1, ReportedCrashes());
}

// Guards against a relay that is open to addresses other than the upstreams'.
TEST(Partition, a_router_relays_only_to_upstreams_that_it_knows) {
  AddUpstreams("hold", 1);
  Start();
  for (const char* id : {"hold-9", "127.0.0.1:1"}) {
    TestCaller other(router.io, router.settings.load_address);
    other.Send(RelayRequest(core::UpstreamId(id)));
    CHECK(router.Until([&] { return other.ended; }));
    CHECK(Has(other.received, "HTTP/1.1 503"));
  }
  TestCaller caller(router.io, router.settings.load_address);
  caller.Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([&] { return caller.ended; }));
  STRCMP_EQUAL("", caller.received.c_str());
}

// Guards against a relay's end that is taken for the end of the answer.
TEST(Partition, a_tunnel_cut_at_any_byte_is_not_an_orderly_end) {
  const std::string text =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
      Chunk("HTTP/1.1 200 OK\r\n\r\n") + Chunk("body") + "0\r\n\r\n";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    ScriptedUpstream relay(router.io);
    relay.Answer([&](const StreamRef& stream, const std::string&) {
      stream->Send(text.substr(0, cut));
      stream->CloseWhenSent();
    });
    tcp::socket socket(router.io);
    const auto endpoint = net::ReadEndpoint(relay.address());
    socket.connect(
        {boost::asio::ip::make_address(endpoint->ip), endpoint->port});
    const auto stream = std::make_shared<Stream>(std::move(socket));
    std::optional<RelayResult> result;
    std::optional<StreamEnd> end;
    const auto tunnel = std::make_shared<RelayTunnel>(
        stream, RelayTunnel::Handlers{[&](RelayResult each) { result = each; },
                                      [](std::string_view) {},
                                      [&](StreamEnd each) { end = each; }});
    tunnel->Open(core::UpstreamId("any"));
    CHECK(router.Until(
        [&] { return end || (result && *result != RelayResult::kOpen); }));
    const bool orderly = end && *end == StreamEnd::kOrderly;
    CHECK_EQUAL(cut == text.size(), orderly);
    stream->Abort();
  }
}
