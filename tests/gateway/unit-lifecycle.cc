#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/address.hpp>  // make_address
#include <boost/asio/ip/udp.hpp>
#include <chrono>  // milliseconds
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/net/clock.h"
#include "coppervalve/net/endpoint.h"
#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

v1::RouterBeat NewestBeat(const Router& router) {
  v1::RouterBeat beat;
  beat.ParseFromString(router.store.Newest("routers", "router-1"));
  return beat;
}

}  // namespace

// clang-format off
TEST_GROUP(Lifecycle) {
  Router router;
};
// clang-format on

TEST(Lifecycle, claims_of_the_previous_start_count_as_used) {
  v1::RouterBeat before;
  before.set_epoch(4);
  v1::AccountClaim* claim = before.add_claims();
  claim->set_account("gate");
  claim->set_ceiling(9'000);
  router.store.Put("routers", "router-1", before.SerializeAsString());
  router.Start(10'000);
  const v1::RouterBeat beat = NewestBeat(router);
  CHECK_EQUAL(kEpochBase + 1, beat.epoch());
  CHECK_EQUAL(9'000, beat.claims(0).retired());
  CHECK(beat.claims(0).ceiling() <= 1'000);
}

TEST(Lifecycle, a_write_without_a_reply_is_retried_and_applied_once) {
  router.store.lose_replies = 2;
  router.Start();
  CHECK(router.Until([&] { return NewestBeat(router).sequence() >= 2; }));
  CHECK_EQUAL(router.store.RecordsOf("routers"), NewestBeat(router).sequence());
}

TEST(Lifecycle, an_older_configuration_is_never_restored) {
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  // Accounts have no tokens in versions 1 and 3, and some in version 9.
  router.Start(0);
  router.store.Put("config", "config", "9 10000");
  router.store.Put("config", "config", "3 0");
  std::string answer;
  for (int i = 0; i < 50 && !Has(answer, "HTTP/1.1 200"); ++i) {
    answer = router.SendRequest("/chat/x", "X-Tokens: 50\r\n");
  }
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(Has(router.SendRequest("/chat/x", "X-Tokens: 50\r\n"), "HTTP/1.1 200"));
}

TEST(Lifecycle, a_compacted_topic_is_listed_again) {
  // An entry is written and compacted away between two reads. Without a new
  // listing, requests would be refused although an upstream is idle.
  router.Start();
  ScriptedUpstream& one = router.AddUpstream("one", "lookup");
  CHECK(router.Until([&] { return router.store.waiting_readers() < 3; }));
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  const int before = router.store.newest_calls;
  router.store.Put("upstreams", "two", "hold " + one.address());
  router.store.Compact("upstreams");
  CHECK(router.Until([&] { return router.store.newest_calls > before; }));
  CHECK(Has(router.SendRequest("/hold/x"), "held"));
}

TEST(Lifecycle,
     a_drain_finishes_requests_in_progress_and_returns_the_ceilings) {
  // A planned restart must neither interrupt a response in progress nor lose
  // the tokens that the router holds for the rest of the day.
  StreamRef waiting;
  std::string request;
  router.AddUpstream("one", "hold")
      .Answer([&](const StreamRef& stream, const std::string& text) {
        waiting = stream;
        request = text;
      });
  router.Start(10'000);
  CHECK(NewestBeat(router).claims(0).ceiling() > 0);
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([&] { return waiting != nullptr; }));
  bool drained = false;
  router.gateway->Drain([&] { drained = true; });
  CHECK(router.Until([&] { return NewestBeat(router).leaving(); }));
  CHECK_FALSE(drained);
  waiting->Send(Signed(request, "held"));
  CHECK(router.Until([&] { return Has(caller->received, "held"); }));
  CHECK(Has(caller->received, "Connection: close"));
  CHECK(router.Until([&] { return drained; }));
  CHECK_EQUAL(0, NewestBeat(router).claims(0).ceiling());
}

// Guards against a drain that ends while a response waits for its caller.
TEST(Lifecycle, a_response_that_its_caller_has_not_read_is_not_cut_by_a_drain) {
  const std::string body(250'000, 'b');
  router.AddUpstream("one", "hold")
      .Answer([&](const StreamRef& stream, const std::string& text) {
        stream->Send(Signed(text, body));
      });
  router.Start();
  bool drained = false;
  router.gateway->Drain([&] { drained = true; });
  router.io.run_for(std::chrono::milliseconds(1'500));
  TestCaller caller(router.io, router.settings.caller_address, 4'096);
  caller.PauseReading();
  caller.Send(Router::RequestText("/hold/x", {}, "r-1"));
  router.io.run_for(std::chrono::milliseconds(2'300));
  CHECK_FALSE(drained);
  caller.ResumeReading();
  CHECK(router.Until([&] { return drained; }));
  CHECK(caller.received.ends_with(body));
}

TEST(Lifecycle, requests_that_cannot_finish_within_a_drain_are_refused) {
  // A caller that caches addresses for long arrives six seconds after the
  // signal. If its request were accepted, it would be interrupted when the
  // process ends (reproduced by acuerdo-mx, mix --seed 466857584921).
  router.settings.grace = std::chrono::seconds(9);
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  router.gateway->Drain([] {});
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-1"), "held"));
  router.io.run_for(std::chrono::milliseconds(2'600));
  const std::string late = router.SendRequest("/hold/x", {}, "r-2");
  CHECK(Has(late, "HTTP/1.1 503"));
  CHECK(Has(late, "Retry-After"));
}

TEST(Lifecycle, only_a_rejected_page_is_requested_again) {
  // Failure: hundreds of routers that start together are not ready for ten
  // seconds, because the store rejects some pages and each rejection restarts
  // the whole listing.
  router.store.page_size = 1;
  for (int i = 0; i < 6; ++i) {
    router.AddUpstream("u" + std::to_string(i), "hold")
        .Answer([](const StreamRef& stream, const std::string& request) {
          stream->Send(Signed(request, "held"));
        });
  }
  router.store.rejected_pages = 3;
  router.Start();
  std::string answer;
  for (int i = 0; i < 200 && !Has(answer, "held"); ++i) {
    answer = router.SendRequest("/hold/x");
    router.io.run_for(std::chrono::milliseconds(10));
  }
  CHECK(Has(answer, "held"));
  // One look at the end of the heartbeats, one page each of the configuration
  // and of the heartbeats, six of the upstreams, and the three that were
  // rejected.
  CHECK_EQUAL(1 + 1 + 1 + 6 + 3, router.store.newest_calls);
}

TEST(Lifecycle, a_connection_to_an_earlier_start_of_an_upstream_is_not_reused) {
  // Failure: a request ends with 502 because it is sent on a pooled connection
  // from before the upstream restarted under the same id.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  router.SetUpstream("one", "hold " + one.address() + " 100");
  CHECK(router.Until([&] { return router.store.waiting_readers() == 3; }));
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-1"), "held"));
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-2"), "held"));
  CHECK_EQUAL(1, one.connections);
  router.SetUpstream("one", "hold " + one.address() + " 200");
  CHECK(router.Until([&] { return one.closed == 1; }));
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-3"), "held"));
  CHECK_EQUAL(2, one.connections);
}

TEST(Lifecycle, a_response_of_an_earlier_start_leaves_no_reusable_connection) {
  // Same as above, but the request was in progress while the upstream
  // restarted.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  std::vector<StreamRef> waiting;
  one.Answer([&waiting](const StreamRef& stream, const std::string&) {
    waiting.push_back(stream);
  });
  router.Start();
  router.SetUpstream("one", "hold " + one.address() + " 100");
  CHECK(router.Until([&] { return router.store.waiting_readers() == 3; }));
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([&] { return waiting.size() == 1; }));
  router.SetUpstream("one", "hold " + one.address() + " 200");
  router.io.run_for(std::chrono::milliseconds(600));
  waiting.front()->Send(Signed(one.requests.front(), "held"));
  CHECK(router.Until([&] { return Has(caller->received, "held"); }));
  CHECK(router.Until([&] { return one.closed == 1; }));
}

TEST(Lifecycle, an_upstream_with_an_unreadable_record_gets_no_requests) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-1"), "held"));
  router.SetUpstream("one", kInvalidService);
  CHECK(router.Until([&] { return one.closed == 1; }));
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-2"), "HTTP/1.1 503"));
}

namespace {

// The last record of a process that ended one second ago on this VM.
v1::RouterBeat CrashedASecondAgo() {
  v1::RouterBeat before;
  before.set_epoch(4);
  before.set_boot(net::BootId());
  const int64_t now = net::BootNow().time_since_epoch().count();
  before.set_written_at(now - 1'000'000);
  before.set_not_before(now + 60'000'000);
  v1::AccountClaim* claim = before.add_claims();
  claim->set_account("gate");
  claim->set_ceiling(9'000);
  claim->set_reserve(7'000);
  return before;
}

}  // namespace

TEST(Lifecycle, a_restarted_process_recovers_the_reserve_of_its_predecessor) {
  // A process crashes and restarts a moment later on the same VM. If all that
  // it had claimed counted as spent, its callers would find no tokens left.
  router.settings.load_address = FreeAddress();
  router.store.Put("routers", "router-1",
                   CrashedASecondAgo().SerializeAsString());
  router.Start(10'000);
  CHECK_EQUAL(2'000, NewestBeat(router).claims(0).retired());
  // The new process reserves part of its own claim in turn.
  CHECK(NewestBeat(router).claims(0).reserve() > 0);
  CHECK(NewestBeat(router).boot() == net::BootId());
}

TEST(Lifecycle, a_process_that_may_not_be_alone_recovers_no_reserve) {
  // The port is in use, so the earlier process may still be running and spend
  // its reserve.
  router.settings.load_address = FreeAddress();
  boost::asio::ip::udp::socket taken(router.io);
  const auto endpoint = net::ReadEndpoint(router.settings.load_address);
  taken.open(boost::asio::ip::udp::v4());
  taken.bind({boost::asio::ip::make_address(endpoint->ip), endpoint->port});
  router.store.Put("routers", "router-1",
                   CrashedASecondAgo().SerializeAsString());
  router.Start(10'000);
  CHECK_EQUAL(9'000, NewestBeat(router).claims(0).retired());
  CHECK_EQUAL(0, NewestBeat(router).claims(0).reserve());
}

TEST(Lifecycle, entries_not_read_again_yet_are_not_removed) {
  // The store recovers from an outage in which entries expired. The small
  // configuration topic is answered first, the upstream table not yet. If the
  // grace time counted from the first reply of any topic, it would end before
  // any entry is read, and callers would be refused although the upstream is
  // idle.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  router.store.unreachable = true;
  router.SetUpstream("one", "");
  router.io.run_for(std::chrono::milliseconds(1'500));
  router.store.unreadable = "upstreams";
  router.store.unreachable = false;
  router.io.run_for(std::chrono::milliseconds(3'000));
  CHECK(Has(router.SendRequest("/hold/x"), "held"));
}

TEST(Lifecycle, claims_after_a_power_loss_depend_on_the_earlier_role) {
  // After a power loss hundreds of routers start at once. If each claimed a
  // share of every account as an active router, the active ones would find no
  // tokens left until the standbys return them seconds later.
  for (const char* other : {"router-2", "router-3", "router-4"}) {
    v1::RouterBeat beat;
    beat.set_epoch(4);
    beat.set_ready(true);
    beat.set_capacity(1'000);
    router.store.Put("routers", other, beat.SerializeAsString());
  }
  v1::RouterBeat own;
  own.set_epoch(4);
  own.set_ready(true);
  own.set_capacity(10);
  router.store.Put("routers", "router-1", own.SerializeAsString());
  router.Start(1'000'000);
  CHECK_EQUAL(kEpochBase + 1, NewestBeat(router).epoch());
  CHECK_EQUAL(0, NewestBeat(router).claims_size());
}
