// Upstreams whose response goes on until the router closes the connection.
#include <CppUTest/TestHarness.h>

#include <chrono>      // seconds, steady_clock
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

// More than the router keeps of any unfinished part.
constexpr size_t kEndless = 4'194'304;
// Of the routes in the test's configuration.
constexpr std::chrono::seconds kDeadline{10};

using HeadOf = std::function<std::string(const std::string& request)>;

std::string Endless(const std::string& part) {
  std::string text;
  while (text.size() < kEndless) {
    text += part;
  }
  return text;
}

std::string StatusLine(const std::string& /*request*/) {
  return "HTTP/1.1 200 OK\r\n";
}

std::string NoHead(const std::string& /*request*/) {
  return {};
}

std::string NotRunHead(const std::string& request) {
  const std::string head = SignedStreamHead(request);
  return "HTTP/1.1 503 X\r\nX-Not-Run: 1" + head.substr(head.find("\r\n"));
}

std::string FailureHead(const std::string& request) {
  const std::string head = SignedStreamHead(request);
  return "HTTP/1.1 500 X" + head.substr(head.find("\r\n"));
}

}  // namespace

// clang-format off
TEST_GROUP(EndlessUpstream) {
  Router router;
  std::unique_ptr<Gateway> peer;
  int closed = 0;

  // An upstream that leaves its connection open after the rest.
  ScriptedUpstream& Add(const std::string& id, const std::string& service,
                        const HeadOf& head, const std::string& rest) {
    ScriptedUpstream& upstream = router.AddUpstream(id, service);
    upstream.Answer(
        [head, rest](const StreamRef& stream, const std::string& request) {
          stream->Send(head(request) + rest);
        });
    return upstream;
  }
  // The caller gets its answer long before the deadline, the router closes the
  // connection to the upstream, and another caller is served meanwhile.
  std::string Ask(const std::string& path, const ScriptedUpstream& upstream) {
    router.AddUpstream("sound", "lookup")
        .Answer([](const StreamRef& stream, const std::string& request) {
          stream->Send(Signed(request, "sound"));
        });
    if (!router.gateway) {
      router.Start();
    }
    const auto began = std::chrono::steady_clock::now();
    const auto caller = router.Caller();
    caller->Send(Router::RequestText(path, {}, "r-1"));
    CHECK(Has(router.SendRequest("/lookup/x", {}, "r-2"), "sound"));
    CHECK(router.Until([&] {
      return Has(caller->received, "\r\n\r\n") || caller->ended;
    }));
    CHECK(router.Until([&] { return upstream.closed > closed; }));
    CHECK(std::chrono::steady_clock::now() - began < kDeadline / 2);
    return caller->received;
  }
  void CheckFails(const HeadOf& head, const std::string& rest) {
    const ScriptedUpstream& one = Add("one", "hold", head, rest);
    CHECK(Has(Ask("/hold/x", one), "HTTP/1.1 502"));
  }
};
// clang-format on

TEST(EndlessUpstream, fields_without_end_fail_the_request) {
  CheckFails(StatusLine, Endless("Name: value\r\n"));
}

TEST(EndlessUpstream, a_field_without_end_fails_the_request) {
  CheckFails(StatusLine, "Name: " + Endless("x"));
}

TEST(EndlessUpstream, interim_responses_without_end_fail_the_request) {
  CheckFails(NoHead, Endless("HTTP/1.1 102 Processing\r\n\r\n"));
}

TEST(EndlessUpstream, a_chunk_header_without_end_fails_the_request) {
  CheckFails(SignedStreamHead, "5;name=" + Endless("x"));
}

TEST(EndlessUpstream, trailer_fields_without_end_fail_the_request) {
  CheckFails(SignedStreamHead,
             Chunk("whole") + "0\r\n" + Endless("Name: value\r\n"));
}

TEST(EndlessUpstream, an_event_without_end_fails_the_request) {
  const auto& one =
      Add("one", "talk", SignedStreamHead, Chunk("data: " + Endless("x")));
  CHECK(Has(Ask("/talk/x", one), "HTTP/1.1 502"));
}

TEST(EndlessUpstream, comment_lines_without_end_fail_the_request) {
  const auto& one =
      Add("one", "talk", SignedStreamHead, Chunk(Endless(": comment\n")));
  CHECK(Has(Ask("/talk/x", one), "HTTP/1.1 502"));
}

TEST(EndlessUpstream, an_event_without_end_is_cut_and_the_stream_resumed) {
  const auto answer = [](const StreamRef& stream, const std::string& request) {
    const bool resumed = Has(request, "X-After: 1");
    stream->Send(SignedStreamHead(request) +
                 (resumed ? Chunk(Event(2)) + "0\r\n\r\n"
                          : Chunk(Event(1) + "data: " + Endless("x"))));
  };
  router.AddUpstream("one", "chat").Answer(answer);
  router.AddUpstream("two", "chat").Answer(answer);
  router.Start();
  const std::string received = router.SendRequest("/chat/x");
  CHECK(Has(received, Event(1)));
  CHECK(Has(received, Event(2)));
  CHECK(received.ends_with("0\r\n\r\n"));
}

TEST(EndlessUpstream, a_long_event_is_forwarded_whole) {
  const std::string event = "data: " + std::string(200'000, 'x') + "\n\n";
  router.AddUpstream("one", "talk")
      .Answer([&](const StreamRef& stream, const std::string& request) {
        stream->Send(SignedStreamHead(request) + Chunk(event) + "0\r\n\r\n");
      });
  router.Start();
  const std::string received = router.SendRequest("/talk/x");
  CHECK(Has(received, event));
  CHECK(received.ends_with("0\r\n\r\n"));
}

TEST(EndlessUpstream, a_refusal_without_end_is_passed_on_at_once) {
  // Failure: a caller is held until its deadline though the head says that its
  // request was not run.
  const auto& one = Add("one", "hold", NotRunHead, Chunk(Endless("x")));
  CHECK(Has(Ask("/hold/x", one), "HTTP/1.1 503"));
}

TEST(EndlessUpstream, a_refusal_that_stops_is_passed_on_at_once) {
  const auto& one = Add("one", "hold", NotRunHead, "5\r\nab");
  CHECK(Has(Ask("/hold/x", one), "HTTP/1.1 503"));
}

TEST(EndlessUpstream, a_failed_resumption_without_end_cuts_the_stream) {
  // Failure: a caller waits for the rest of a stream until its deadline.
  int asked = 0;
  const auto answer = [&](const StreamRef& stream, const std::string& request) {
    ++asked;
    if (!Has(request, "X-After: 1")) {
      stream->Send(SignedStreamHead(request) + Chunk(Event(1)));
      stream->CloseWhenSent();
      return;
    }
    stream->Send(FailureHead(request) + Chunk(Endless("x")));
  };
  router.AddUpstream("one", "chat").Answer(answer);
  router.AddUpstream("two", "chat").Answer(answer);
  router.Start();
  const auto began = std::chrono::steady_clock::now();
  const std::string received = router.SendRequest("/chat/x");
  CHECK(Has(received, Event(1)));
  CHECK_FALSE(received.ends_with("0\r\n\r\n"));
  CHECK_EQUAL(2, asked);
  CHECK(std::chrono::steady_clock::now() - began < kDeadline / 2);
}

TEST(EndlessUpstream, bytes_after_the_end_are_not_kept) {
  const auto& one = Add(
      "one", "hold",
      [](const std::string& request) { return Signed(request, "held"); },
      Endless("x"));
  CHECK(Has(Ask("/hold/x", one), "held"));
}

TEST(EndlessUpstream, bytes_on_an_idle_connection_close_it) {
  StreamRef idle;
  ScriptedUpstream& one = router.AddUpstream("one", "hold");
  one.Answer([&](const StreamRef& stream, const std::string& request) {
    idle = stream;
    stream->Send(Signed(request, "held"));
  });
  router.Start();
  CHECK(Has(router.SendRequest("/hold/x"), "held"));
  CHECK_EQUAL(0, one.closed);
  idle->Send(Endless("x"));
  CHECK(router.Until([&] { return one.closed == 1; }));
}

TEST(EndlessUpstream, a_body_without_end_waits_for_a_caller_that_is_slow) {
  // Failure: the router keeps what a caller does not read, until it has no
  // memory left.
  constexpr size_t kBody = 64 * kEndless;
  StreamRef upstream;
  router.AddUpstream("one", "hold")
      .Answer([&](const StreamRef& stream, const std::string& request) {
        upstream = stream;
        stream->Send(SignedStreamHead(request) +
                     Chunk(std::string(kBody, 'x')));
      });
  router.Start();
  const auto caller = router.Caller();
  caller->PauseReading();
  caller->Send(Router::RequestText("/hold/x", {}, "r-1"));
  CHECK(router.Until([&] { return upstream != nullptr; }));
  router.io.run_for(std::chrono::milliseconds(500));
  // What the buffers of four sockets hold, and no more.
  CHECK(upstream->unsent() > kBody / 2);
}

TEST(EndlessUpstream, a_relayed_response_has_the_same_bounds) {
  const auto& one =
      Add("one", "hold", SignedStreamHead, "5;name=" + Endless("x"));
  router.settings.load_address = FreeAddress();
  const std::string nowhere = FreeAddress();
  router.settings.upstream_address = [nowhere, &one](const std::string& to) {
    return to == one.address() ? nowhere : to;
  };
  router.Start();
  router.settings.upstream_address = nullptr;
  peer = router.StartPeer("router-2");
  const std::string received = Ask("/hold/x", one);
  CHECK(Has(received, "HTTP/1.1 502"));
  CHECK_EQUAL(1, one.requests.size());
}
