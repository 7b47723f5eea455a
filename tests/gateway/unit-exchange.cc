#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <string>  // string

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

int CountOf(const std::string& text, const std::string& part) {
  int count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

// clang-format off
TEST_GROUP(Exchange) {
  Router router;
};
// clang-format on

TEST(Exchange, passes_an_answer_on_unchanged) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "seat 7", 201));
  });
  router.Start();
  const std::string answer = router.Ask("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 201 X\r\n"));
  CHECK(Has(answer, "X-Signed: 1\r\n"));
  CHECK(answer.ends_with("\r\n\r\nseat 7"));
}

TEST(Exchange, an_answer_of_another_request_is_not_passed_on) {
  // A caller gets somebody else's answer. The upstream sends a late answer to
  // an earlier request where the next one is expected; only the id tells.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& /*request*/) {
    stream->Send(Signed("\r\nX-Id: r-0\r\n", "somebody's seat"));
  });
  router.Start();
  const std::string answer = router.Ask("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK_FALSE(Has(answer, "somebody's seat"));
}

TEST(Exchange, a_second_answer_on_a_kept_connection_reaches_nobody) {
  // The next caller gets the surplus answer of the request before: the
  // connection was kept with bytes on it that nobody had asked for.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "first") + Signed(request, "surplus"));
  });
  router.Start();
  CHECK(Has(router.Ask("/hold/x", {}, "r-1"), "first"));
  CHECK(Has(router.Ask("/hold/x", {}, "r-2"), "first"));
  CHECK_EQUAL(2, one.connections);
}

TEST(Exchange, a_success_without_signature_is_not_passed_on) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& /*request*/) {
    stream->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  router.Start();
  CHECK(Has(router.Ask("/hold/x"), "HTTP/1.1 502"));
}

TEST(Exchange, a_reset_answer_without_length_is_not_complete) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send("HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: r-1\r\n\r\nhalf");
    stream->Abort();
    (void)request;
  });
  router.Start();
  CHECK(Has(router.Ask("/hold/x"), "HTTP/1.1 502"));
}

TEST(Exchange, work_that_may_have_run_is_not_sent_again_nor_called_not_run) {
  // A seat is held twice, or a caller that was told "not run" holds another.
  // The upstream ran the request and its answer was lost.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  ScriptedUpstream& two = router.AddUpstream("two", "hold");
  const auto lose = [](const StreamRef& stream, const std::string&) {
    stream->Abort();
  };
  one.Answer(lose);
  two.Answer(lose);
  router.Start();
  CHECK(Has(router.Ask("/hold/x"), "HTTP/1.1 502"));
  CHECK_EQUAL(1, one.requests.size() + two.requests.size());
}

TEST(Exchange, idempotent_work_goes_to_another_upstream) {
  ScriptedUpstream& one = router.AddUpstream("one", "lookup");
  ScriptedUpstream& two = router.AddUpstream("two", "lookup");
  int sent = 0;
  const auto lose_first = [&sent](const StreamRef& stream,
                                  const std::string& request) {
    if (++sent == 1) {
      stream->Abort();
      return;
    }
    stream->Send(Signed(request, "found"));
  };
  one.Answer(lose_first);
  two.Answer(lose_first);
  router.Start();
  CHECK(Has(router.Ask("/lookup/x"), "found"));
  CHECK_EQUAL(1, one.requests.size());
  CHECK_EQUAL(1, two.requests.size());
}

TEST(Exchange, what_an_upstream_declined_is_refused_with_a_time_to_come_back) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string&) {
    stream->Send(
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  router.Start();
  const std::string answer = router.Ask("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After"));
}

TEST(Exchange, a_stream_that_breaks_goes_on_at_another_upstream) {
  // A reader of a chat answer sees a piece twice, or none of the rest. The
  // engine dies after two events and a half; another goes on after the second.
  const auto answer = [](const StreamRef& stream, const std::string& request) {
    if (!Has(request, "X-After")) {
      stream->Send(SignedStreamHead(request) +
                   Chunk(Event(1) + Event(2) + "id: 3\nda"));
      stream->Abort();
      return;
    }
    CHECK(Has(request, "X-After: 2\r\n"));
    stream->Send(SignedStreamHead(request) + Chunk(Event(3) + Event(4)) +
                 "0\r\n\r\n");
  };
  router.AddUpstream("one", "chat").Answer(answer);
  router.AddUpstream("two", "chat").Answer(answer);
  router.Start();
  const std::string stream = router.Ask("/chat/x", "X-Tokens: 50\r\n");
  for (int id = 1; id <= 4; ++id) {
    CHECK_EQUAL(1, CountOf(stream, Event(id)));
  }
  CHECK_EQUAL(4, CountOf(stream, "data: piece"));
  CHECK(stream.ends_with("0\r\n\r\n"));
}

TEST(Exchange, a_stream_that_can_not_go_on_does_not_look_complete) {
  router.AddUpstream("one", "chat")
      .Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(SignedStreamHead(request) + Chunk(Event(1)));
        stream->Abort();
      });
  router.Start();
  const std::string stream = router.Ask("/chat/x", "X-Tokens: 50\r\n");
  CHECK_FALSE(stream.ends_with("0\r\n\r\n"));
}

TEST(Exchange, the_upstream_is_told_when_the_caller_leaves) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  router.Start();
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([&] { return one.requests.size() == 1; }));
  caller->Disconnect();
  CHECK(router.Until([&] { return one.closed == 1; }));
}

TEST(Exchange, nothing_is_sent_for_a_caller_that_left_before_it_was_read) {
  // All callers come to one router, after the others died, and wait to be read
  // for longer than they wait for an answer. Their requests and the ends of
  // their connections are read in the same moment; sent on, they take engines'
  // time and tokens for nobody.
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  router.Start(10'000);
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/chat/x", "X-Tokens: 50\r\n", "r-1"));
  caller->CloseAfterSend();
  const auto next = router.Caller();
  next->Send(Router::RequestText("/chat/x", "X-Tokens: 50\r\n", "r-2"));
  CHECK(router.Until([&] { return !one.requests.empty(); }));
  CHECK(one.requests.front().find("r-2") != std::string::npos);
}

TEST(Exchange, tokens_are_billed_as_they_were_delivered) {
  router.AddUpstream("one", "chat")
      .Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(SignedStreamHead(request) + Chunk(Event(1) + Event(2)) +
                     "0\r\n\r\n");
      });
  router.Start(10'000);
  router.Ask("/chat/x", "X-Tokens: 50\r\n");
  // 50 of the prompt and two events of ten tokens.
  CHECK(router.Until([&] {
    v1::RouterBeat beat;
    beat.ParseFromString(router.store.Newest("routers", "router-1"));
    return beat.claims_size() == 1 && beat.claims(0).spent() == 70;
  }));
}

TEST(Exchange,
     work_is_refused_as_not_run_when_the_ceiling_is_reached_in_a_cut) {
  // A caller is told that its budget is used up, and goes away for good, by a
  // router that only can't reach the store. It serves up to its ceiling, and
  // then says "not now".
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  router.Start(10'000);
  router.store.away = true;
  router.store.Put("other", "wake", "x");
  std::string answer;
  int served = 0;
  for (int i = 0; i < 50; ++i) {
    answer =
        router.Ask("/chat/x", "X-Tokens: 900\r\n", "r-" + std::to_string(i));
    if (!Has(answer, "HTTP/1.1 200")) {
      break;
    }
    ++served;
  }
  CHECK(served > 0);
  CHECK(served * 910 <= 10'000);
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After"));
}

TEST(Exchange, a_caller_is_sent_to_routers_that_reach_the_store) {
  // The store turns one router away and serves the others. Its callers were
  // told to come back after the whole cut, with tokens free a router further.
  router.settings.load_address = FreeAddress(router.io);
  router.Start(10'000);
  router.store.away = true;
  router.store.Put("other", "wake", "x");
  v1::PeerDatagram datagram;
  v1::LoadReport& report = *datagram.mutable_load();
  report.set_router("router-2");
  report.set_epoch(1);
  report.set_store_up(true);
  std::string answer;
  for (int i = 0; i < 50 && !Has(answer, "HTTP/1.1 503"); ++i) {
    report.set_sequence(static_cast<uint64_t>(i) + 1);
    SendDatagram(router.io, router.settings.load_address,
                 datagram.SerializeAsString());
    answer =
        router.Ask("/chat/x", "X-Tokens: 9900\r\n", "r-" + std::to_string(i));
  }
  CHECK(Has(answer, "Retry-After: 50000 us"));
}

TEST(Exchange, a_router_short_of_tokens_is_helped_while_the_store_is_away) {
  // A tenant's callers all come to one router when the store goes away. It was
  // refused at that router's ceiling, with tokens idle in another's; together
  // both never spend more than the total.
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  constexpr int64_t kTotal = 100'000;
  constexpr int64_t kEach = 500;
  router.settings.load_address = FreeAddress(router.io);
  router.Start(kTotal);
  const std::unique_ptr<Gateway> peer = router.StartPeer("router-2");
  v1::RouterBeat own;
  own.ParseFromString(router.store.Newest("routers", "router-1"));
  const int64_t ceiling = own.claims(0).ceiling();
  router.store.away = true;
  router.store.Put("other", "wake", "x");
  int64_t served = 0;
  const auto serve_one = [&] {
    return Has(
        router.Ask("/chat/x", "X-Tokens: " + std::to_string(kEach) + "\r\n",
                   "r-" + std::to_string(served)),
        "HTTP/1.1 200");
  };
  const auto serve_all = [&] {
    while (serve_one()) {
      ++served;
    }
  };
  serve_all();
  // A part is held back for as long as the store may still answer; callers are
  // told when it serves.
  router.io.run_for(std::chrono::milliseconds(2'600));
  serve_all();
  CHECK(served * kEach > ceiling + ceiling / 4);
  CHECK(served * kEach <= kTotal);
}
