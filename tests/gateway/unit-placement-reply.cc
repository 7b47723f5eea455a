// What a router that reads the upstream table says of it to others.
#include <CppUTest/TestHarness.h>

#include <chrono>    // milliseconds
#include <optional>  // optional
#include <string>    // string

#include "datagram_peer.h"
#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

/// A standby that asks for placements.
class Asker {
 public:
  explicit Asker(boost::asio::io_context& io)
      : m_peer(io, [this](const v1::PeerDatagram& received) {
          if (received.has_place_answer()) {
            answer = received.place_answer();
          }
        }) {}

  std::string Question(const std::string& service, bool sole_version_only) {
    answer.reset();
    v1::PeerDatagram datagram;
    v1::PlaceAsk& ask = *datagram.mutable_place_ask();
    ask.set_epoch(1);
    ask.set_id(++m_last_id);
    ask.set_service(service);
    ask.set_sole_version_only(sole_version_only);
    ask.set_reply_address(m_peer.address());
    return datagram.SerializeAsString();
  }

  std::optional<v1::PlaceAnswer> answer;

 private:
  DatagramPeer m_peer;
  uint64_t m_last_id = 0;
};

}  // namespace

// clang-format off
TEST_GROUP(PlacementReply) {
  Router router;
  Asker asker{router.io};

  void Start() {
    router.settings.load_address = FreeAddress();
    router.settings.drain_bound = core::Duration(3'000'000);
    router.AddUpstream("one", "lookup");
    router.Start();
  }
  v1::PlaceAnswer Ask(bool sole_version_only = false) {
    SendDatagram(router.io, router.settings.load_address,
                 asker.Question("lookup", sole_version_only));
    CHECK(router.Until([this] { return asker.answer.has_value(); }));
    return asker.answer.value_or(v1::PlaceAnswer());
  }
  void Pass(int millis) {
    router.io.restart();
    router.io.run_for(std::chrono::milliseconds(millis));
  }
};
// clang-format on

TEST(PlacementReply, of_a_router_that_reads_the_table_is_current) {
  Start();
  const v1::PlaceAnswer answer = Ask();
  STRCMP_EQUAL("one", answer.upstream().c_str());
  STRCMP_EQUAL("router-1", answer.router().c_str());
  CHECK_FALSE(answer.outdated());
}

TEST(PlacementReply, of_a_router_that_can_not_read_the_table_is_outdated) {
  Start();
  router.store.unreadable = "upstreams";
  Pass(2'700);
  CHECK(Ask().outdated());
}

TEST(PlacementReply, that_names_an_expired_upstream_is_outdated) {
  // Failure: a router that the store turned away keeps upstreams that left
  // meanwhile for some seconds, and a standby sends to one of them.
  Start();
  router.store.unreadable = "upstreams";
  Pass(2'000);
  router.store.Put("upstreams", "one", "");
  router.store.Compact("upstreams");
  router.store.unreadable.clear();
  const int calls = router.store.newest_calls;
  CHECK(router.Until([&] { return router.store.newest_calls > calls; }));
  Pass(20);
  const v1::PlaceAnswer answer = Ask();
  CHECK(answer.upstream().empty() || answer.outdated());
}

// Guards against the rest of a stream from another version, by an old table.
TEST(PlacementReply, of_one_version_only_comes_from_a_table_that_is_current) {
  Start();
  constexpr int kStreamLifetimeMillis = 20'500;
  Pass(kStreamLifetimeMillis);
  STRCMP_EQUAL("one", Ask(/*sole_version_only=*/true).upstream().c_str());
  router.store.swallows = [](const std::string& topic, const std::string&) {
    return topic == "upstreams";
  };
  router.SetUpstream("two", "lookup 127.0.0.1:2 0 fd-a v2");
  STRCMP_EQUAL("", Ask(/*sole_version_only=*/true).upstream().c_str());
}
