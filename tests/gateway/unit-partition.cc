#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/address.hpp>  // make_address
#include <chrono>                     // milliseconds
#include <memory>                     // unique_ptr
#include <string>                     // string
#include <vector>                     // vector

#include "coppervalve/net/endpoint.h"
#include "gateway_fixture.h"

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
      : m_address(FreeAddress(io)), m_acceptor(io) {
    const auto endpoint = net::ReadEndpoint(m_address);
    const tcp::endpoint local(boost::asio::ip::make_address(endpoint->ip),
                              endpoint->port);
    m_acceptor.open(local.protocol());
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

// clang-format off
TEST_GROUP(Partition) {
  Router router;
  std::unique_ptr<Gateway> peer;
  std::vector<ScriptedUpstream*> upstreams;
  /// Where the router's new connections end instead of at the upstreams; empty:
  /// nowhere else.
  std::string partitioned_to;
  int dialed = 0;  ///< connections that the router opened itself

  void AddUpstreams(const std::string& service, int count) {
    for (int i = 0; i < count; ++i) {
      ScriptedUpstream& upstream =
          router.AddUpstream(service + "-" + std::to_string(i), service);
      upstream.Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(Signed(request, "done"));
      });
      upstreams.push_back(&upstream);
    }
  }

  void Start(bool with_peer = true) {
    router.settings.load_address = FreeAddress(router.io);
    router.settings.upstream_address = [this](const std::string& address) {
      ++dialed;
      return partitioned_to.empty() ? address : partitioned_to;
    };
    router.Start();
    router.settings.upstream_address = nullptr;
    if (with_peer) {
      peer = router.StartPeer("router-2");
    }
  }

  void Refuse() { partitioned_to = FreeAddress(router.io); }

  int Served(const std::string& path, int count) {
    int served = 0;
    for (int i = 0; i < count; ++i) {
      const std::string answer = router.SendRequest(path + std::to_string(i));
      served += Has(answer, "HTTP/1.1 200") && Has(answer, "done") ? 1 : 0;
    }
    return served;
  }
};
// clang-format on

// Guards against a router that refuses its callers because it has lost all
// upstreams, while another router reaches them.
TEST(Partition, a_router_without_upstreams_serves_through_another_router) {
  AddUpstreams("hold", 3);
  AddUpstreams("lookup", 3);
  Start();
  CHECK_EQUAL(2, Served("/hold/a", 2));
  Refuse();
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
