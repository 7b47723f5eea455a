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

TEST(Lifecycle, a_start_counts_what_the_start_before_claimed_as_used) {
  v1::RouterBeat before;
  before.set_epoch(4);
  v1::AccountClaim* claim = before.add_claims();
  claim->set_account("gate");
  claim->set_ceiling(9'000);
  router.store.Put("routers", "router-1", before.SerializeAsString());
  router.Start(10'000);
  const v1::RouterBeat beat = NewestBeat(router);
  CHECK_EQUAL(5, beat.epoch());
  CHECK_EQUAL(9'000, beat.claims(0).retired());
  CHECK(beat.claims(0).ceiling() <= 1'000);
}

TEST(Lifecycle, a_write_without_an_answer_is_repeated_and_done_once) {
  router.store.lose_replies = 2;
  router.Start();
  CHECK(router.Until([&] { return NewestBeat(router).sequence() >= 2; }));
  CHECK_EQUAL(router.store.RecordsOf("routers"), NewestBeat(router).sequence());
}

TEST(Lifecycle, an_older_configuration_never_comes_back) {
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  // Accounts have no tokens in the versions 1 and 3, and some in 9.
  router.Start(0);
  router.store.Put("config", "config", "9 10000");
  router.store.Put("config", "config", "3 0");
  std::string answer;
  for (int i = 0; i < 50 && !Has(answer, "HTTP/1.1 200"); ++i) {
    answer = router.Ask("/chat/x", "X-Tokens: 50\r\n");
  }
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(Has(router.Ask("/chat/x", "X-Tokens: 50\r\n"), "HTTP/1.1 200"));
}

TEST(Lifecycle, a_forgotten_history_is_read_anew) {
  // Work is refused with an upstream idle: its entry was written and forgotten
  // between two reads.
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
  CHECK(Has(router.Ask("/hold/x"), "held"));
}

TEST(Lifecycle, a_drain_ends_what_is_in_progress_and_gives_the_ceilings_back) {
  // A caller's answer is cut off by a planned restart, and the tokens that the
  // router held are lost for the day.
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

TEST(Lifecycle, what_comes_too_late_to_end_in_a_drain_is_refused) {
  // A caller that keeps addresses for long comes six seconds after the signal;
  // its request is taken and cut off when the process ends (acuerdo-mx,
  // mix --seed 466857584921).
  router.settings.grace = std::chrono::seconds(9);
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  router.gateway->Drain([] {});
  CHECK(Has(router.Ask("/hold/x", {}, "r-1"), "held"));
  router.io.run_for(std::chrono::milliseconds(2'600));
  const std::string late = router.Ask("/hold/x", {}, "r-2");
  CHECK(Has(late, "HTTP/1.1 503"));
  CHECK(Has(late, "Retry-After"));
}

TEST(Lifecycle, a_page_that_is_turned_away_is_asked_for_again_alone) {
  // Hundreds of routers that start together are not ready for ten seconds: the
  // store turns some pages away, and each time the whole list was read anew.
  router.store.page_size = 1;
  for (int i = 0; i < 6; ++i) {
    router.AddUpstream("u" + std::to_string(i), "hold")
        .Answer([](const StreamRef& stream, const std::string& request) {
          stream->Send(Signed(request, "held"));
        });
  }
  router.store.refuse_newest = 3;
  router.Start();
  std::string answer;
  for (int i = 0; i < 200 && !Has(answer, "held"); ++i) {
    answer = router.Ask("/hold/x");
    router.io.run_for(std::chrono::milliseconds(10));
  }
  CHECK(Has(answer, "held"));
  // One page of the configuration and of the beats, six of the upstreams, and
  // the three that were turned away.
  CHECK_EQUAL(1 + 1 + 6 + 3, router.store.newest_calls);
}

TEST(Lifecycle, a_connection_of_an_earlier_start_gets_no_work_of_the_next) {
  // A caller's work is lost with 502: it was sent on a connection that was
  // kept from before the upstream started again under its id.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  router.SetUpstream("one", "hold " + one.address() + " 100");
  CHECK(router.Until([&] { return router.store.waiting_readers() == 3; }));
  CHECK(Has(router.Ask("/hold/x", {}, "r-1"), "held"));
  CHECK(Has(router.Ask("/hold/x", {}, "r-2"), "held"));
  CHECK_EQUAL(1, one.connections);
  router.SetUpstream("one", "hold " + one.address() + " 200");
  CHECK(router.Until([&] { return one.closed == 1; }));
  CHECK(Has(router.Ask("/hold/x", {}, "r-3"), "held"));
  CHECK_EQUAL(2, one.connections);
}

TEST(Lifecycle, an_answer_of_an_earlier_start_leaves_no_connection_behind) {
  // As above, but the request was in progress while the upstream started again.
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

TEST(Lifecycle, an_upstream_whose_record_can_not_be_read_gets_no_work) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  CHECK(Has(router.Ask("/hold/x", {}, "r-1"), "held"));
  router.SetUpstream("one", kNamesNoUpstream);
  CHECK(router.Until([&] { return one.closed == 1; }));
  CHECK(Has(router.Ask("/hold/x", {}, "r-2"), "HTTP/1.1 503"));
}

namespace {

// The last record of a process that ended a second ago on this VM.
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

TEST(Lifecycle, a_restarted_process_gets_back_what_the_one_before_held_back) {
  // A process crashes and starts again a moment later on the same VM. All that
  // it had claimed counted as spent, and its callers found nothing left.
  router.settings.load_address = FreeAddress(router.io);
  router.store.Put("routers", "router-1",
                   CrashedASecondAgo().SerializeAsString());
  router.Start(10'000);
  CHECK_EQUAL(2'000, NewestBeat(router).claims(0).retired());
  // It holds back part of its own claim in turn.
  CHECK(NewestBeat(router).claims(0).reserve() > 0);
  CHECK(NewestBeat(router).boot() == net::BootId());
}

TEST(Lifecycle, a_process_that_may_have_company_gets_nothing_back) {
  // The port is taken: the process before may live, and spend what it held
  // back.
  router.settings.load_address = FreeAddress(router.io);
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

TEST(Lifecycle, entries_that_were_not_read_again_are_not_taken_for_gone) {
  // The store comes back from an outage in which entries ran out; the small
  // topic of the configuration is answered, the table of upstreams is not yet.
  // Counted from the first, the time to return ends before any entry is read,
  // and callers are refused with the upstream idle.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  router.store.away = true;
  router.SetUpstream("one", "");
  router.io.run_for(std::chrono::milliseconds(1'500));
  router.store.unreadable = "upstreams";
  router.store.away = false;
  router.io.run_for(std::chrono::milliseconds(3'000));
  CHECK(Has(router.Ask("/hold/x"), "held"));
}

TEST(Lifecycle, a_start_after_a_loss_claims_by_what_the_router_was) {
  // All power was lost; hundreds of routers start at once, and each takes a
  // part of every account as if callers were led to it. Those that callers do
  // come to find nothing left until the others give it back seconds later.
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
  CHECK_EQUAL(5, NewestBeat(router).epoch());
  CHECK_EQUAL(0, NewestBeat(router).claims_size());
}
