// A standby of a large fleet, between a store and an active router.
#include <CppUTest/TestHarness.h>

#include <optional>  // optional
#include <string>    // string

#include "coppervalve/gateway/fleet_view_client.h"
#include "datagram_peer.h"
#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

/// An active router. It answers questions for its view while it has one.
class ActivePeer {
 public:
  explicit ActivePeer(boost::asio::io_context& io)
      : m_peer(io, [this](const v1::PeerDatagram& received) {
          if (received.has_view_ask()) {
            ++questions;
            Answer(received.view_ask());
          }
        }) {}
  const std::string& address() const { return m_peer.address(); }

  std::optional<entry::FleetView> view;
  int questions = 0;

 private:
  void Answer(const v1::FleetViewAsk& ask) {
    if (view) {
      v1::PeerDatagram datagram;
      *datagram.mutable_view_answer() = ToFleetViewAnswer(ask, *view);
      m_peer.Reply(datagram);
    }
  }

  DatagramPeer m_peer;
};

}  // namespace

// clang-format off
TEST_GROUP(FleetView) {
  Router router;
  ActivePeer peer{router.io};

  // Three large routers are active, three are next, and the store cannot send
  // the heartbeats of all to all.
  void StartStandby() {
    router.settings.load_address = FreeAddress();
    router.settings.directory_address = FreeAddress();
    router.settings.store_read_bytes_per_second = 50'000;
    router.settings.processor_cores = 0.01;
    for (int i = 2; i <= 7; ++i) {
      const std::string number = std::to_string(i);
      v1::RouterBeat beat;
      beat.set_epoch(1);
      beat.set_sequence(1);
      beat.set_ready(true);
      beat.set_capacity(500);
      beat.set_failure_domain(router.settings.failure_domain.value());
      beat.set_caller_address("10.0.0." + number + ":80");
      beat.set_load_address(peer.address());
      router.store.Put("routers", "router-" + number, beat.SerializeAsString());
    }
    router.Start();
  }
  // The last heartbeat of an active router, before all lost power.
  void PutFleetFacts(double least_capacity) {
    v1::RouterBeat beat;
    beat.set_epoch(1);
    beat.set_sequence(1);
    beat.set_ready(true);
    beat.set_failure_domain(router.settings.failure_domain.value());
    beat.mutable_fleet()->set_routers(985);
    beat.mutable_fleet()->set_least_capacity(least_capacity);
    beat.mutable_fleet()->set_heartbeat_bytes(280'000);
    beat.mutable_fleet()->set_configuration_bytes(100'000);
    beat.mutable_fleet()->set_heartbeats_per_second(220);
    router.store.Put("routers", "router-2", beat.SerializeAsString());
  }
  void StartAlone() {
    router.settings.store_read_bytes_per_second = 50'000;
    router.store.Put("config", "config", "1 1000000");
    router.Start();
    router.io.restart();
    router.io.run_for(std::chrono::milliseconds(1'500));
  }
  void WriteHeartbeat() {
    router.store.Put("routers", "router-2", "unreadable");
    router.io.restart();
    router.io.run_for(std::chrono::milliseconds(1'000));
  }
  std::string Directory() {
    TestCaller caller(router.io, router.settings.directory_address);
    caller.Send(Router::RequestText("/directory", {}, "r-1"));
    router.Until([&] { return Has(caller.received, "10.0.0."); });
    return caller.received;
  }
  bool DirectoryLists(const std::string& address) {
    constexpr int kMaxTries = 60;
    for (int i = 0; i < kMaxTries; ++i) {
      if (Has(Directory(), address)) {
        return true;
      }
      router.io.restart();
      router.io.run_for(std::chrono::milliseconds(100));
    }
    return false;
  }
  static entry::FleetView View() {
    entry::FleetView view;
    view.active[core::RouterId("router-9")] = {"10.0.0.9:80", ""};
    view.live = 985;
    return view;
  }
};
// clang-format on

TEST(FleetView, a_standby_reads_no_heartbeats_while_an_active_router_answers) {
  // Failure: each of a thousand routers reads the heartbeats and claims of all
  // others. The store can't send them, and no router becomes ready.
  peer.view = View();
  StartStandby();
  CHECK(DirectoryLists("10.0.0.9:80"));
  // The read in progress ends with the next record.
  WriteHeartbeat();
  const size_t readers = router.store.waiting_readers();
  WriteHeartbeat();
  CHECK_EQUAL(readers, router.store.waiting_readers());
  CHECK_FALSE(Has(Directory(), "10.0.0.2:80"));
}

TEST(FleetView, a_standby_without_answers_reads_the_heartbeats_again) {
  // Failure: the active routers lose power, and standbys direct callers to them
  // for good.
  peer.view = View();
  peer.view->live = 7;
  StartStandby();
  CHECK(DirectoryLists("10.0.0.9:80"));
  peer.view.reset();
  CHECK(DirectoryLists("10.0.0.2:80"));
}

TEST(FleetView, standbys_do_not_read_a_table_whose_size_is_unknown) {
  // Failure: a new fleet takes the table that nobody has read yet for an empty
  // one. All routers read it, and the store is too busy for any to complete.
  peer.view = View();
  StartStandby();
  CHECK(DirectoryLists("10.0.0.9:80"));
  // The configuration and the heartbeats are listed once, after a look at the
  // end of the heartbeats.
  CHECK_EQUAL(3, router.store.newest_calls);
}

TEST(FleetView, a_router_that_waits_for_its_turn_to_start_reads_nothing) {
  // Failure: dozens of routers restart together. Each reads the claims of all
  // active routers until its turn to announce itself, and the claims reach the
  // active routers too late for the requests that wait for them.
  constexpr int kRouters = 4'000;
  router.settings.store_writes_per_second = 1;
  v1::RouterBeat beat;
  beat.set_epoch(1);
  beat.set_sequence(1);
  beat.set_ready(true);
  beat.set_failure_domain(router.settings.failure_domain.value());
  beat.set_capacity(2'000);
  const std::string record = beat.SerializeAsString();
  for (int i = 0; i < kRouters; ++i) {
    router.store.Put("routers", "other-" + std::to_string(i), record);
  }
  router.Start();
  router.io.restart();
  router.io.run_for(std::chrono::milliseconds(1'200));
  CHECK_EQUAL(0, router.store.appends);
  WriteHeartbeat();
  const size_t readers = router.store.waiting_readers();
  WriteHeartbeat();
  CHECK_EQUAL(readers, router.store.waiting_readers());
  CHECK_EQUAL(0, router.store.appends);
}

TEST(FleetView, after_a_loss_of_power_a_small_router_waits_for_its_turn) {
  // Failure: a thousand routers that start together list all heartbeats. The
  // store is busy for longer than the fleet has to return.
  PutFleetFacts(1'000);
  router.settings.processor_cores = 0.01;
  StartAlone();
  // The end of the heartbeats' log was read twice, and nothing listed.
  CHECK_EQUAL(2, router.store.newest_calls);
  CHECK_EQUAL(0, router.store.appends);
}

TEST(FleetView, a_small_router_waits_also_if_the_store_returns_after_it) {
  PutFleetFacts(1'000);
  router.settings.processor_cores = 0.01;
  router.store.unreachable = true;
  StartAlone();
  router.store.unreachable = false;
  router.store.newest_calls = 0;
  router.io.restart();
  router.io.run_for(std::chrono::milliseconds(1'500));
  CHECK_EQUAL(2, router.store.newest_calls);
  CHECK_EQUAL(0, router.store.appends);
}

TEST(FleetView, after_a_loss_of_power_a_large_router_starts_at_once) {
  PutFleetFacts(1'000);
  router.settings.processor_cores = 4;
  StartAlone();
  CHECK(router.store.newest_calls > 2);
  CHECK(router.store.appends > 0);
}

TEST(FleetView,
     a_standby_refuses_what_the_routers_that_read_heartbeats_refuse) {
  // Failure: requests with a part that crashes upstreams come to standbys, too,
  // which read no heartbeats, and so are sent on.
  peer.view = View();
  v1::CrashCase verdict;
  verdict.set_request(
      entry::FingerprintOfPart(core::ServiceId("talk"), "bad").ToBytes());
  verdict.set_part(true);
  verdict.set_refused(true);
  verdict.set_apart(true);
  for (uint64_t start = 1; start <= 4; ++start) {
    verdict.add_ended(start);
  }
  peer.view->crashes = {verdict};
  router.AddUpstream("talk-1", "talk")
      .Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
      });
  StartStandby();
  CHECK(DirectoryLists("10.0.0.9:80"));
  CHECK(Has(router.SendRequest("/talk/x", "X-Parts: bad\r\n"),
            "prompt_part_ends_upstreams"));
}
