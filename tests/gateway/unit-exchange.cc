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

TEST(Exchange, forwards_a_response_unchanged) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "seat 7", 201));
  });
  router.Start();
  const std::string answer = router.SendRequest("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 201 X\r\n"));
  CHECK(Has(answer, "X-Signed: 1\r\n"));
  CHECK(answer.ends_with("\r\n\r\nseat 7"));
}

TEST(Exchange, a_response_to_another_request_is_not_forwarded) {
  // Failure: a caller gets the response of another caller. The upstream sends a
  // late response to an earlier request; only the id shows this.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& /*request*/) {
    stream->Send(Signed("\r\nX-Id: r-0\r\n", "somebody's seat"));
  });
  router.Start();
  const std::string answer = router.SendRequest("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 502"));
  CHECK_FALSE(Has(answer, "somebody's seat"));
}

TEST(Exchange, a_surplus_response_on_a_kept_connection_is_not_forwarded) {
  // Failure: a caller gets the surplus response to an earlier request, because
  // the connection was reused with unsolicited bytes on it.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(Signed(request, "first") + Signed(request, "surplus"));
  });
  router.Start();
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-1"), "first"));
  CHECK(Has(router.SendRequest("/hold/x", {}, "r-2"), "first"));
  CHECK_EQUAL(2, one.connections);
}

TEST(Exchange, a_success_without_signature_is_not_forwarded) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& /*request*/) {
    stream->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  });
  router.Start();
  CHECK(Has(router.SendRequest("/hold/x"), "HTTP/1.1 502"));
}

TEST(Exchange, a_reset_response_without_length_is_not_complete) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send("HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: r-1\r\n\r\nhalf");
    stream->Abort();
    (void)request;
  });
  router.Start();
  CHECK(Has(router.SendRequest("/hold/x"), "HTTP/1.1 502"));
}

TEST(Exchange,
     a_request_that_may_have_run_is_not_retried_nor_reported_as_not_run) {
  // Failure: a seat is held twice, because the router retries or answers "not
  // run" although the upstream ran the request and its response was lost.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  ScriptedUpstream& two = router.AddUpstream("two", "hold");
  const auto lose = [](const StreamRef& stream, const std::string&) {
    stream->Abort();
  };
  one.Answer(lose);
  two.Answer(lose);
  router.Start();
  CHECK(Has(router.SendRequest("/hold/x"), "HTTP/1.1 502"));
  CHECK_EQUAL(1, one.requests.size() + two.requests.size());
}

TEST(Exchange, an_idempotent_request_is_retried_at_another_upstream) {
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
  CHECK(Has(router.SendRequest("/lookup/x"), "found"));
  CHECK_EQUAL(1, one.requests.size());
  CHECK_EQUAL(1, two.requests.size());
}

TEST(Exchange,
     a_request_that_an_upstream_declined_is_refused_with_retry_after) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([](const StreamRef& stream, const std::string&) {
    stream->Send(
        "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  router.Start();
  const std::string answer = router.SendRequest("/hold/x");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After"));
}

TEST(Exchange, a_broken_stream_is_resumed_at_another_upstream) {
  // Failure: a caller gets an event twice, or loses the rest of the stream. The
  // engine crashes after two and a half events; another resumes after the
  // second.
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
  const std::string stream = router.SendRequest("/chat/x", "X-Tokens: 50\r\n");
  for (int id = 1; id <= 4; ++id) {
    CHECK_EQUAL(1, CountOf(stream, Event(id)));
  }
  CHECK_EQUAL(4, CountOf(stream, "data: piece"));
  CHECK(stream.ends_with("0\r\n\r\n"));
}

TEST(Exchange, a_stream_that_can_not_be_resumed_does_not_look_complete) {
  router.AddUpstream("one", "chat")
      .Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(SignedStreamHead(request) + Chunk(Event(1)));
        stream->Abort();
      });
  router.Start();
  const std::string stream = router.SendRequest("/chat/x", "X-Tokens: 50\r\n");
  CHECK_FALSE(stream.ends_with("0\r\n\r\n"));
}

TEST(Exchange, the_upstream_connection_is_closed_when_the_caller_disconnects) {
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  router.Start();
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([&] { return one.requests.size() == 1; }));
  caller->Disconnect();
  CHECK(router.Until([&] { return one.closed == 1; }));
}

TEST(Exchange,
     no_request_is_sent_for_a_caller_that_disconnected_before_it_was_read) {
  // Failure: after other routers crashed, all callers connect to one router,
  // which reads their requests only after they timed out, together with the
  // ends of their connections. Forwarded requests would waste engine time and
  // tokens.
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

TEST(Exchange, only_delivered_tokens_are_billed) {
  router.AddUpstream("one", "chat")
      .Answer([](const StreamRef& stream, const std::string& request) {
        stream->Send(SignedStreamHead(request) + Chunk(Event(1) + Event(2)) +
                     "0\r\n\r\n");
      });
  router.Start(10'000);
  router.SendRequest("/chat/x", "X-Tokens: 50\r\n");
  // 50 tokens of the prompt and two events of ten tokens each.
  CHECK(router.Until([&] {
    v1::RouterBeat beat;
    beat.ParseFromString(router.store.Newest("routers", "router-1"));
    return beat.claims_size() == 1 && beat.claims(0).spent() == 70;
  }));
}

TEST(Exchange,
     requests_are_refused_as_not_run_at_the_ceiling_during_a_store_outage) {
  // Failure: a router that merely can't reach the store reports an exhausted
  // budget, and the caller never retries. It must serve up to its ceiling, and
  // then refuse with Retry-After.
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  router.Start(10'000);
  router.store.unreachable = true;
  router.store.Put("other", "wake", "x");
  std::string answer;
  int served = 0;
  for (int i = 0; i < 50; ++i) {
    answer = router.SendRequest("/chat/x", "X-Tokens: 900\r\n",
                                "r-" + std::to_string(i));
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

TEST(Exchange, a_caller_is_directed_to_routers_that_reach_the_store) {
  // Failure: only one router can't reach the store, and its Retry-After covers
  // the whole outage although other routers have free tokens.
  router.settings.load_address = FreeAddress();
  router.Start(10'000);
  router.store.unreachable = true;
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
    answer = router.SendRequest("/chat/x", "X-Tokens: 9900\r\n",
                                "r-" + std::to_string(i));
  }
  CHECK(Has(answer, "Retry-After: 50000 us"));
}

TEST(Exchange, a_router_borrows_tokens_while_the_store_is_away) {
  // Failure: all callers of an account use one router during a store outage and
  // are refused at its ceiling, although another router has unused tokens. Both
  // together must never spend more than the total.
  ScriptedUpstream& one = router.AddUpstream("one", "chat");
  one.Answer([](const StreamRef& stream, const std::string& request) {
    stream->Send(SignedStreamHead(request) + Chunk(Event(1)) + "0\r\n\r\n");
  });
  constexpr int64_t kTotal = 100'000;
  constexpr int64_t kEach = 500;
  router.settings.load_address = FreeAddress();
  router.Start(kTotal);
  const std::unique_ptr<Gateway> peer = router.StartPeer("router-2");
  v1::RouterBeat own;
  own.ParseFromString(router.store.Newest("routers", "router-1"));
  const int64_t ceiling = own.claims(0).ceiling();
  router.store.unreachable = true;
  router.store.Put("other", "wake", "x");
  int64_t served = 0;
  const auto serve_one = [&] {
    return Has(router.SendRequest("/chat/x",
                                  "X-Tokens: " + std::to_string(kEach) + "\r\n",
                                  "r-" + std::to_string(served)),
               "HTTP/1.1 200");
  };
  const auto serve_all = [&] {
    while (serve_one()) {
      ++served;
    }
  };
  serve_all();
  // A part of the ceiling becomes spendable only some time after its claim was
  // written, so that a process that restarts sooner can recover it. Refusals
  // state the delay until then.
  router.io.run_for(std::chrono::milliseconds(2'600));
  serve_all();
  CHECK(served * kEach > ceiling + ceiling / 4);
  CHECK(served * kEach <= kTotal);
}

TEST(Exchange, a_caller_that_reads_slowly_does_not_fill_the_memory) {
  // Failure: a router on a small VM keeps what its callers have not read yet
  // and is killed for its memory. It must stop reading from the upstream.
  constexpr size_t kWhole = 64 * 1024 * 1024;
  constexpr size_t kPart = 64 * 1024;
  StreamRef upstream;
  size_t sent = 0;
  router.AddUpstream("one", "lookup")
      .Answer([&](const StreamRef& stream, const std::string& request) {
        upstream = stream;
        stream->Send(SignedStreamHead(request));
      });
  router.Start();
  const auto caller = router.Caller();
  caller->Send(Router::RequestText("/lookup/x", {}, "r-1"));
  CHECK(router.Until([&] { return upstream != nullptr; }));
  caller->PauseReading();
  const std::string part = Chunk(std::string(kPart, 'x'));
  while (sent < kWhole && upstream->unsent() == 0) {
    upstream->Send(part);
    sent += kPart;
    router.io.restart();
    router.io.run_for(std::chrono::milliseconds(2));
  }
  CHECK(sent < kWhole / 2);
}

TEST(Exchange, a_request_that_arrives_too_slowly_never_runs) {
  // Status 408 promises that the request has not run and never will.
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  router.Start();
  const auto caller = router.Caller();
  const std::string text = Router::RequestText("/hold/x", {}, "r-1");
  caller->Send(text.substr(0, text.size() - 3));
  CHECK(router.Until([&] { return caller->ended; }));
  CHECK(Has(caller->received, "HTTP/1.1 408"));
  CHECK(one.requests.empty());
}
