#include <CppUTest/TestHarness.h>

#include <atomic>  // atomic
#include <string>  // string

#include "fake_server.h"
#include "test_shell.h"

using namespace coppervalve;
using namespace coppervalve::net::testing;

namespace {

const std::string kDone = "data: [DONE]\n\n";
const std::string kLastChunk = "0\r\n\r\n";
const std::string kUsage =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,"
    "\"completion_tokens\":2}}\n\n";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string SendRequest(TestShell& shell, const std::string& bytes) {
  RawSocket caller = shell.Caller();
  caller.Send(bytes);
  return caller.ReadMessage();
}

// An engine that streams these bytes after its head, then closes.
FakeServer::Script Stream(std::string bytes) {
  return [bytes = std::move(bytes)](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead() + bytes);
  };
}

void CheckCut(const std::string& answer, const std::string& id) {
  CHECK_TEXT(Has(answer, "event: error\ndata: {"), answer.c_str());
  CHECK_TEXT(Has(answer, id), answer.c_str());
  CHECK_TEXT(!Has(answer, "[DONE]"), answer.c_str());
  CHECK_TEXT(!answer.ends_with(kLastChunk), answer.c_str());
}

}  // namespace

// clang-format off
TEST_GROUP(Stream){};
// clang-format on

TEST(Stream, a_complete_stream_is_relayed_with_its_end) {
  std::string seen;
  FakeServer engine([&seen](RawSocket& socket, size_t) {
    seen = socket.ReadMessage();
    socket.Send(StreamHead() + TokenChunk("draw") + TokenChunk("bridge") +
                Chunk(kUsage) + Chunk(kDone) + kLastChunk);
    socket.ReadMessage();
  });
  {
    TestShell shell(SendTo(engine.address()));
    const std::string answer = SendRequest(shell, ModelPost("x", true));
    CHECK_TEXT(Has(answer, "draw") && Has(answer, "bridge"), answer.c_str());
    CHECK(Has(answer, kDone));
    CHECK(answer.ends_with(kLastChunk));
    // The caller did not request the usage event.
    CHECK_FALSE(Has(answer, "usage"));
    const auto done = shell.WaitFor<router::AttemptDone>();
    CHECK(done.has_value());
    LONGS_EQUAL(4, done->usage->prompt.value());
    LONGS_EQUAL(2, done->usage->output.value());
    LONGS_EQUAL(1, shell.Count<router::AttemptFirstToken>());
  }
  CHECK_TEXT(Has(seen, "\"include_usage\":true"), seen.c_str());
}

TEST(Stream, tokens_arrive_before_the_answer_has_ended) {
  std::atomic<bool> first_seen{false};
  FakeServer engine([&first_seen](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead() + TokenChunk("early"));
    while (!first_seen) {
      std::this_thread::yield();
    }
    socket.Send(Chunk(kDone) + kLastChunk);
    socket.ReadMessage();
  });
  {
    TestShell shell(SendTo(engine.address()));
    RawSocket caller = shell.Caller();
    caller.Send(ModelPost("x", true));
    CHECK(Has(caller.ReadUntil("early"), "early"));
    first_seen = true;
    CHECK(caller.ReadUntil(kLastChunk).ends_with(kLastChunk));
  }
}

TEST(Stream, an_event_split_across_reads_is_relayed_once_and_completely) {
  FakeServer engine([](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead());
    const std::string events =
        "data: {\"choices\":[{\"text\":\"one\"}]}\r\n\r\n" + kDone;
    for (const char c : events) {
      socket.Send(Chunk(std::string(1, c)));
    }
    socket.Send(kLastChunk);
    socket.ReadMessage();
  });
  {
    TestShell shell(SendTo(engine.address()));
    const std::string answer = SendRequest(shell, ModelPost("x", true));
    CHECK(Has(answer, "data: {\"choices\":[{\"text\":\"one\"}]}\r\n\r\n"));
    CHECK(answer.ends_with(kLastChunk));
  }
}

TEST(Stream, a_stream_that_ends_midway_is_reported_as_truncated) {
  // The engine fails after two tokens that the caller already has. The caller
  // gets an error event, no closing event and no last chunk, so that no client
  // takes the part for a complete answer.
  FakeServer engine(Stream(TokenChunk("half") + TokenChunk("draft")));
  {
    TestShell shell(SendTo(engine.address()));
    const std::string answer = SendRequest(shell, ModelPost("x", true));
    CHECK(Has(answer, "half"));
    CheckCut(answer, "CV-502");
    const auto failed = shell.WaitFor<router::AttemptFailed>();
    CHECK(failed->forwarded_bytes);
    LONGS_EQUAL(2, failed->output_seen.value());
  }
}

TEST(Stream, a_closing_event_without_the_final_chunk_is_not_an_end) {
  // The connection breaks between "[DONE]" and the end of the message. More
  // data may have been lost, so the stream counts as truncated, and the delayed
  // closing event never reaches the caller.
  FakeServer engine(Stream(TokenChunk("a") + Chunk(kDone)));
  {
    TestShell shell(SendTo(engine.address()));
    CheckCut(SendRequest(shell, ModelPost("x", true)), "CV-502");
  }
}

TEST(Stream, a_final_chunk_without_the_closing_event_is_not_an_end) {
  // A proxy may end the message normally after its engine has failed.
  FakeServer engine(Stream(TokenChunk("a") + kLastChunk));
  {
    TestShell shell(SendTo(engine.address()));
    CheckCut(SendRequest(shell, ModelPost("x", true)), "CV-502");
  }
}

TEST(Stream, an_error_event_of_the_engine_is_not_an_end) {
  FakeServer engine(Stream(
      TokenChunk("a") + Chunk("data: {\"error\":{\"message\":\"oom\"}}\n\n") +
      Chunk(kDone) + kLastChunk));
  {
    TestShell shell(SendTo(engine.address()));
    CheckCut(SendRequest(shell, ModelPost("x", true)), "CV-503");
  }
}

TEST(Stream,
     a_second_attempt_after_a_failure_before_the_first_token_is_invisible) {
  // The first engine sends its head and closes. Nothing has reached the caller,
  // so it sees only the answer of another engine.
  FakeServer failing(Stream(""));
  FakeServer healthy(Stream(TokenChunk("rescued") + Chunk(kDone) + kLastChunk));
  {
    TestShell shell(
        [&failing, &healthy](const router::Event& event) -> TestShell::Actions {
          if (const auto* e = std::get_if<router::AttemptFailed>(&event)) {
            router::Dispatch again = DispatchOf(e->request, healthy.address());
            again.attempt = core::AttemptId(e->attempt.value() + 1000000);
            return {again};
          }
          return SendTo(failing.address())(event);
        });
    const std::string answer = SendRequest(shell, ModelPost("x", true));
    CHECK(Has(answer, "rescued"));
    CHECK(answer.ends_with(kLastChunk));
    CHECK_FALSE(Has(answer, "error"));
  }
}

TEST(Stream, an_engine_that_hangs_between_tokens_times_out) {
  // One token, then only comments: the connection works, but the engine hangs.
  std::atomic<bool> over{false};
  FakeServer engine([&over](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead() + TokenChunk("a"));
    while (!over) {
      socket.Send(Chunk(": alive\n\n"));
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  });
  {
    TestShell shell([address = engine.address()](
                        const router::Event& event) -> TestShell::Actions {
      if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
        router::Dispatch dispatch = DispatchOf(e->request, address);
        dispatch.inter_token_timeout = std::chrono::milliseconds(150);
        return {dispatch};
      }
      return SendTo(address)(event);
    });
    CheckCut(SendRequest(shell, ModelPost("x", true)), "CV-504");
    over = true;
  }
}

TEST(Stream, a_slow_caller_causes_backpressure_on_the_engine) {
  // The engine sends far more than the caller reads. Reading from the engine
  // must pause; when the caller continues, it gets every token and the end.
  constexpr int kTokens = 20000;
  const std::string token(1000, 't');
  std::atomic<int> sent{0};
  FakeServer engine([&sent, &token](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead());
    for (; sent < kTokens; ++sent) {
      socket.Send(TokenChunk(token));
    }
    socket.Send(Chunk(kDone) + kLastChunk);
    socket.ReadMessage();
  });
  {
    TestShell shell(SendTo(engine.address()));
    RawSocket caller = shell.Caller();
    caller.Send(ModelPost("x", true));
    caller.ReadUntil("\r\n\r\n");
    int before = -1;
    while (before != sent) {
      before = sent;
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    CHECK_TEXT(sent < kTokens, "the engine was never held back");
    const std::string rest = caller.ReadUntil(kLastChunk);
    CHECK(rest.ends_with(kLastChunk));
    CHECK(Has(rest, kDone));
    CHECK(rest.size() > size_t{kTokens} * token.size());
  }
}

TEST(Stream, a_repeated_request_joins_the_running_or_stored_answer) {
  // Three callers send the same key. The second joins while the answer of the
  // first still arrives, the third after its end: each gets the complete
  // answer, and the engine is called once.
  std::atomic<bool> finish{false};
  FakeServer engine([&finish](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead() + TokenChunk("first"));
    while (!finish) {
      std::this_thread::yield();
    }
    socket.Send(TokenChunk("last") + Chunk(kDone) + kLastChunk);
    socket.ReadMessage();
  });
  {
    std::optional<core::RequestId> leader;
    TestShell shell(
        [&leader, &engine](const router::Event& event) -> TestShell::Actions {
          if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
            if (leader) {
              return {router::JoinAnswer{e->request, *leader}};
            }
            leader = e->request;
          }
          return SendTo(engine.address())(event);
        });
    const std::string request = ModelPost("x", true, "Idempotency-Key: k\r\n");
    RawSocket first = shell.Caller();
    first.Send(request);
    CHECK(Has(first.ReadUntil("first"), "first"));
    RawSocket second = shell.Caller();
    second.Send(request);
    CHECK(Has(second.ReadUntil("first"), "first"));
    finish = true;
    CHECK(Has(first.ReadUntil(kLastChunk), "last"));
    CHECK(Has(second.ReadUntil(kLastChunk), "last"));
    const std::string third = SendRequest(shell, request);
    CHECK(Has(third, "first") && Has(third, "last"));
    CHECK(third.ends_with(kLastChunk));
    LONGS_EQUAL(1, engine.connections());
  }
}

TEST(Stream, a_joined_request_can_be_refused_while_the_answer_continues) {
  std::atomic<bool> finish{false};
  FakeServer engine([&finish](RawSocket& socket, size_t) {
    socket.ReadMessage();
    while (!finish) {
      std::this_thread::yield();
    }
    socket.Send(EngineReply("whole"));
    socket.ReadMessage();
  });
  {
    std::optional<core::RequestId> leader;
    TestShell shell(
        [&leader, &engine](const router::Event& event) -> TestShell::Actions {
          if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
            if (leader) {
              return {router::JoinAnswer{e->request, *leader},
                      router::Refuse{e->request,
                                     {core::ErrorId::kQueueTimeout, "", ""},
                                     core::RunState::kUnknown,
                                     {}}};
            }
            leader = e->request;
          }
          return SendTo(engine.address())(event);
        });
    const std::string request = ModelPost("x", false, "Idempotency-Key: k\r\n");
    RawSocket first = shell.Caller();
    first.Send(request);
    CHECK(shell.WaitFor<router::RequestArrived>().has_value());
    CHECK(Has(SendRequest(shell, request), "CV-408"));
    finish = true;
    CHECK(Has(first.ReadMessage(), "whole"));
  }
}

TEST(Stream, an_answer_that_is_no_longer_stored_is_reported_as_run) {
  TestShell shell([](const router::Event& event) -> TestShell::Actions {
    if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
      return {router::JoinAnswer{e->request, core::RequestId(999999)}};
    }
    return {};
  });
  const std::string answer =
      SendRequest(shell, ModelPost("x", false, "Idempotency-Key: k\r\n"));
  CHECK_TEXT(Has(answer, "CV-507"), answer.c_str());
  CHECK(Has(answer, "\"run_state\":\"ran\""));
}
