#include <CppUTest/TestHarness.h>

#include <atomic>   // atomic
#include <mutex>    // mutex
#include <string>   // string
#include <thread>   // thread
#include <utility>  // pair
#include <vector>   // vector

#include "fake_server.h"
#include "test_shell.h"

using namespace coppervalve;
using namespace coppervalve::net::testing;

namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string SendRequest(TestShell& shell, const std::string& bytes) {
  RawSocket caller = shell.Caller();
  caller.Send(bytes);
  return caller.ReadMessage();
}

}  // namespace

// clang-format off
TEST_GROUP(Upstream){};
// clang-format on

TEST(Upstream, a_model_request_is_limited_sent_and_answered) {
  std::string seen;
  FakeServer engine([&seen](RawSocket& socket, size_t) {
    seen = socket.ReadMessage();
    socket.Send(EngineReply("castle"));
    socket.ReadMessage();
  });
  {
    TestShell shell(SendTo(engine.address()));
    const std::string answer =
        SendRequest(shell, ModelPost("tour", false, "Idempotency-Key: k9\r\n"));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 200"), answer.c_str());
    CHECK(Has(answer, "castle"));
    const auto done = shell.WaitFor<router::AttemptDone>();
    CHECK(done.has_value());
    LONGS_EQUAL(3, done->usage->prompt.value());
    LONGS_EQUAL(5, done->usage->output.value());
  }
  CHECK_TEXT(Has(seen, "\"max_tokens\":64"), seen.c_str());
  CHECK(Has(seen, "idempotency-key: k9"));
  CHECK(Has(seen, "x-request-id: r1-"));
  CHECK(Has(seen, "x-coppervalve-priority: 0"));
  CHECK(Has(seen, "x-coppervalve-account: tours"));
  CHECK_FALSE(Has(seen, "key-1"));
}

TEST(Upstream, a_service_answer_is_relayed_with_status_and_headers) {
  std::string seen;
  FakeServer service([&seen](RawSocket& socket, size_t) {
    seen = socket.ReadMessage();
    socket.Send(
        "HTTP/1.1 409 Conflict\r\nX-Seat: 7\r\nContent-Length: 5\r\n\r\ntaken");
    socket.ReadMessage();
  });
  {
    TestShell shell(SendTo(service.address(), false));
    const std::string answer =
        SendRequest(shell, Post("/v1/services/seats/hold/7?gate=2", "{}"));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 409"), answer.c_str());
    CHECK(Has(answer, "x-seat: 7"));
    CHECK(answer.ends_with("taken"));
    LONGS_EQUAL(409, shell.WaitFor<router::AttemptDone>()->http_status);
  }
  CHECK_TEXT(seen.starts_with("POST /hold/7?gate=2 HTTP/1.1"), seen.c_str());
}

TEST(Upstream, an_upstream_that_refuses_connections_means_not_sent) {
  uint16_t port = 0;
  {
    const FakeServer gone([](RawSocket&, size_t) {});
    port = gone.port();
  }
  TestShell shell(SendTo("127.0.0.1:" + std::to_string(port)));
  const std::string answer = SendRequest(shell, ModelPost("x"));
  CHECK_TEXT(Has(answer, "\"run_state\":\"not_run\""), answer.c_str());
  CHECK(shell.WaitForCount<router::AttemptNotSent>(1));
}

TEST(Upstream, an_answer_marked_not_run_is_a_decline_with_its_load) {
  FakeServer engine(
      AlwaysReply("HTTP/1.1 503 Busy\r\nx-not-run: true\r\nRetry-After: 2\r\n"
                  "x-engine-running: 8\r\nx-engine-queued: 30\r\n"
                  "Content-Length: 0\r\n\r\n"));
  {
    TestShell shell(SendTo(engine.address()));
    CHECK(Has(SendRequest(shell, ModelPost("x")), "retry-after: 2"));
    const auto declined = shell.WaitFor<router::AttemptDeclined>();
    CHECK(declined.has_value());
    LONGS_EQUAL(503, declined->http_status);
    LONGS_EQUAL(8, declined->load->running);
    LONGS_EQUAL(30, declined->load->queued);
  }
}

TEST(Upstream, an_unmarked_server_error_may_have_run) {
  FakeServer engine(
      AlwaysReply("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"));
  {
    TestShell shell(SendTo(engine.address()));
    CHECK(Has(SendRequest(shell, ModelPost("x")), "\"run_state\":\"unknown\""));
    CHECK(shell.WaitFor<router::AttemptFailed>()->error.id ==
          core::ErrorId::kUpstreamFailed);
  }
}

TEST(Upstream, a_truncated_answer_is_not_relayed_as_complete) {
  // The engine announces 500 bytes, sends 20 and closes. A caller could take
  // the relayed part for the complete draft; it gets a typed error instead.
  FakeServer engine([](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n"
        "{\"choices\":[{\"text\":");
  });
  {
    TestShell shell(SendTo(engine.address()));
    const std::string answer = SendRequest(shell, ModelPost("x"));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), answer.c_str());
    CHECK(Has(answer, "CV-502"));
    CHECK(Has(answer, "\"run_state\":\"unknown\""));
    CHECK_FALSE(Has(answer, "choices"));
    CHECK_FALSE(shell.WaitFor<router::AttemptFailed>()->forwarded_bytes);
  }
}

TEST(Upstream, an_answer_that_ends_only_by_close_is_incomplete) {
  // Without length or chunks, a broken connection looks like a normal end.
  FakeServer engine([](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send("HTTP/1.1 200 OK\r\n\r\n{\"choices\":[]}");
  });
  {
    TestShell shell(SendTo(engine.address()));
    CHECK(Has(SendRequest(shell, ModelPost("x")), "CV-505"));
  }
}

TEST(Upstream, an_answer_above_the_size_limit_is_not_relayed) {
  FakeServer engine(AlwaysReply(Reply(std::string(3000, ' '))));
  {
    net::ShellSettings settings = TestShell::Settings();
    settings.max_answer_bytes = 1000;
    TestShell shell(SendTo(engine.address()), settings);
    CHECK(Has(SendRequest(shell, ModelPost("x")), "CV-505"));
  }
}

TEST(Upstream, a_part_of_an_answer_without_end_is_not_kept) {
  // Failure: an engine sends bytes that are no answer until its connection is
  // closed. The router keeps them, and the caller waits for its timeout.
  constexpr size_t kEndless = 8'388'608;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> endless = {
      {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"},
      {"", "HTTP/1.1 102 Processing\r\n\r\n"},
      {chunked + "5;name=", "x"},
      {chunked + "0\r\n", "Name: value\r\n"}};
  for (const auto& answer_parts : endless) {
    FakeServer engine([&answer_parts](RawSocket& socket, size_t) {
      socket.ReadMessage();
      socket.Send(answer_parts.first);
      std::string more;
      while (more.size() < kEndless) {
        more += answer_parts.second;
      }
      socket.Send(more);
      socket.WaitForClose();
    });
    TestShell shell(SendTo(engine.address()));
    const std::string answer = SendRequest(shell, ModelPost("x"));
    CHECK_TEXT(Has(answer, "CV-505"), answer.c_str());
  }
}

TEST(Upstream, a_reused_connection_that_died_idle_is_replaced) {
  // The engine closes after its first answer without announcing it. The second
  // request must not fail: no byte of it was written yet, so a new connection
  // is safe.
  std::atomic<int> closed{0};
  FakeServer engine([&closed](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(EngineReply("ok"));
    socket.Close();
    ++closed;
  });
  {
    net::ShellSettings settings = TestShell::Settings();
    settings.traffic_threads = 1;
    TestShell shell(SendTo(engine.address()), settings);
    for (int i = 0; i < 5; ++i) {
      const std::string answer = SendRequest(shell, ModelPost("x"));
      CHECK_TEXT(Has(answer, "ok"), answer.c_str());
      while (closed <= i) {
        std::this_thread::yield();
      }
    }
    CHECK(shell.WaitForCount<router::AttemptDone>(5));
    LONGS_EQUAL(5, engine.connections());
  }
}

TEST(Upstream, a_live_connection_is_reused) {
  FakeServer engine(AlwaysReply(EngineReply("ok")));
  {
    net::ShellSettings settings = TestShell::Settings();
    settings.traffic_threads = 1;
    TestShell shell(SendTo(engine.address()), settings);
    for (int i = 0; i < 4; ++i) {
      CHECK(Has(SendRequest(shell, ModelPost("x")), "ok"));
    }
    LONGS_EQUAL(1, engine.connections());
  }
}

TEST(Upstream, a_request_is_not_retried_after_bytes_were_sent) {
  // The engine reads the complete request on a reused connection and resets it.
  // It may have run the request: a retry could hold a seat twice.
  std::atomic<int> requests{0};
  FakeServer engine([&requests](RawSocket& socket, size_t) {
    socket.ReadMessage();
    ++requests;
    socket.Send(EngineReply("first"));
    if (socket.ReadMessage().empty()) {
      return;
    }
    ++requests;
    socket.Reset();
  });
  {
    net::ShellSettings settings = TestShell::Settings();
    settings.traffic_threads = 1;
    TestShell shell(SendTo(engine.address()), settings);
    CHECK(Has(SendRequest(shell, ModelPost("x")), "first"));
    const std::string answer = SendRequest(shell, ModelPost("x"));
    CHECK_TEXT(Has(answer, "\"run_state\":\"unknown\""), answer.c_str());
    CHECK(shell.WaitForCount<router::AttemptFailed>(1));
  }
  LONGS_EQUAL(2, requests);
}

TEST(Upstream, bytes_after_an_answer_never_reach_another_caller) {
  // The engine sends more than the answer's length. If the connection were
  // reused, the rest would be read as the answer to the next caller's request.
  FakeServer engine([](RawSocket& socket, size_t connection) {
    socket.ReadMessage();
    socket.Send(EngineReply("own" + std::to_string(connection)) +
                EngineReply("foreign"));
    socket.ReadMessage();
  });
  {
    net::ShellSettings settings = TestShell::Settings();
    settings.traffic_threads = 1;
    TestShell shell(SendTo(engine.address()), settings);
    CHECK(Has(SendRequest(shell, ModelPost("x")), "own0"));
    const std::string second = SendRequest(shell, ModelPost("x"));
    CHECK_TEXT(Has(second, "own1"), second.c_str());
  }
}

TEST(Upstream, answers_of_concurrent_requests_are_not_mixed_up) {
  // Many concurrent callers over reused connections; each engine answer
  // contains the prompt that it belongs to.
  FakeServer engine([](RawSocket& socket, size_t) {
    while (true) {
      const std::string request = socket.ReadMessage();
      const size_t at = request.find("tour-");
      if (at == std::string::npos) {
        return;
      }
      socket.Send(EngineReply(request.substr(at, request.find('"', at) - at)));
    }
  });
  {
    TestShell shell(SendTo(engine.address()));
    std::atomic<int> wrong{0};
    constexpr int kCallers = 8;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&shell, &wrong, caller] {
        RawSocket socket = shell.Caller();
        for (int i = 0; i < 25; ++i) {
          const std::string name =
              "tour-" + std::to_string(caller) + "-" + std::to_string(i);
          socket.Send(ModelPost(name));
          if (!Has(socket.ReadMessage(), "\"" + name + "\"")) {
            ++wrong;
          }
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    LONGS_EQUAL(0, wrong);
  }
}

TEST(Upstream, a_silent_upstream_ends_the_attempt) {
  // The engine accepts the request and never answers; its connection stays
  // open.
  FakeServer engine([](RawSocket& socket, size_t) { socket.ReadToEnd(); });
  {
    TestShell shell([address = engine.address()](
                        const router::Event& event) -> TestShell::Actions {
      if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
        router::Dispatch dispatch = DispatchOf(e->request, address, false);
        dispatch.first_token_timeout = std::chrono::milliseconds(100);
        return {dispatch};
      }
      return SendTo(address)(event);
    });
    CHECK(Has(SendRequest(shell, Post("/v1/services/seats/x", "")), "CV-504"));
  }
}

TEST(Upstream, a_cancelled_attempt_closes_its_connection) {
  // The caller disconnects while the engine works: the core cancels, and the
  // engine sees the close and can stop.
  std::atomic<bool> closed{false};
  FakeServer engine([&closed](RawSocket& socket, size_t) {
    socket.ReadMessage();
    closed = socket.WaitForClose();
  });
  {
    TestShell shell([address = engine.address()](
                        const router::Event& event) -> TestShell::Actions {
      if (const auto* e = std::get_if<router::CallerDisconnected>(&event)) {
        return {router::CancelAttempt{e->request,
                                      core::AttemptId(e->request.value())}};
      }
      return SendTo(address)(event);
    });
    RawSocket caller = shell.Caller();
    caller.Send(ModelPost("x"));
    CHECK(shell.WaitFor<router::RequestArrived>().has_value());
    caller.Close();
    CHECK(shell.WaitFor<router::CallerDisconnected>().has_value());
    while (!closed) {
      std::this_thread::yield();
    }
    LONGS_EQUAL(0, shell.Count<router::AttemptFailed>());
  }
}

TEST(Upstream, a_second_attempt_answers_after_the_first_was_declined) {
  FakeServer busy(AlwaysReply(
      "HTTP/1.1 429 Busy\r\nx-not-run: true\r\nContent-Length: 0\r\n\r\n"));
  FakeServer idle(AlwaysReply(EngineReply("second")));
  {
    TestShell shell(
        [&busy, &idle](const router::Event& event) -> TestShell::Actions {
          if (const auto* e = std::get_if<router::AttemptDeclined>(&event)) {
            router::Dispatch again = DispatchOf(e->request, idle.address());
            again.attempt = core::AttemptId(e->attempt.value() + 1000000);
            return {again};
          }
          return SendTo(busy.address())(event);
        });
    CHECK(Has(SendRequest(shell, ModelPost("x")), "second"));
  }
}

TEST(Upstream, a_status_that_is_none_is_no_answer) {
  // Failure: an engine in trouble answers with the status 000, and the router
  // reads the body as the head of the next answer, or relays the status.
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    for (const bool model_work : {true, false}) {
      const std::string answers = std::string("HTTP/1.1 ") + status +
                                  " X\r\nContent-Length: 0\r\n\r\n" +
                                  EngineReply("inner");
      FakeServer upstream(AlwaysReply(answers));
      TestShell shell(SendTo(upstream.address(), model_work));
      const std::string answer = SendRequest(
          shell, model_work ? ModelPost("x") : Post("/v1/services/x/y", "{}"));
      CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), answer.c_str());
      CHECK_TEXT(Has(answer, "CV-505"), answer.c_str());
      CHECK_TEXT(Has(answer, "\"run_state\":\"unknown\""), answer.c_str());
    }
  }
}

TEST(Upstream, a_part_of_an_early_answer_is_not_relayed_as_complete) {
  // Failure: an upstream answers a long upload before it has read it, without a
  // length, and resets its connection. The caller gets a part as a whole.
  for (const bool model_work : {true, false}) {
    FakeServer upstream([](RawSocket& socket, size_t) {
      socket.ReadUntil("\r\n\r\n");
      socket.Send("HTTP/1.1 200 OK\r\n\r\n{\"choices\":[]}");
      socket.Reset();
    });
    net::ShellSettings settings = TestShell::Settings();
    settings.caller.max_body_bytes = 4'000'000;
    TestShell shell(SendTo(upstream.address(), model_work), settings);
    const std::string long_text(2'000'000, 'u');
    const std::string answer =
        SendRequest(shell, model_work ? ModelPost(long_text)
                                      : Post("/v1/services/x/y", long_text));
    CHECK_TEXT(answer.starts_with("HTTP/1.1 502"), answer.c_str());
    CHECK_TEXT(Has(answer, "\"run_state\":\"unknown\""), answer.c_str());
  }
}
