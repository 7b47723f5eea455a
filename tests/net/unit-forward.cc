#include <CppUTest/TestHarness.h>

#include <atomic>  // atomic
#include <string>  // string
#include <thread>  // thread

#include "fake_server.h"
#include "test_shell.h"

using namespace coppervalve;
using namespace coppervalve::net::testing;

namespace {

const std::string kLastChunk = "0\r\n\r\n";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string SendRequest(TestShell& shell, const std::string& bytes) {
  RawSocket caller = shell.Caller();
  caller.Send(bytes);
  return caller.ReadMessage();
}

net::ShellSettings WithPeers() {
  net::ShellSettings settings = TestShell::Settings();
  settings.peer_listen = "127.0.0.1:0";
  settings.peer_secret = "peer-secret";
  return settings;
}

std::string PeerAddress(TestShell& shell) {
  return "127.0.0.1:" + std::to_string(shell.shell().peer_port());
}

// Forwards every request to one peer and refuses those that it did not answer.
TestShell::Decide ForwardTo(std::string address) {
  return [address = std::move(address)](
             const router::Event& event) -> TestShell::Actions {
    if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
      return {router::Forward{e->request, core::RouterId("r2"),
                              core::Incarnation(7), address,
                              core::AccountId("tours")}};
    }
    const auto* e = std::get_if<router::ForwardEnded>(&event);
    if (!e || e->answered) {
      return {};
    }
    return {router::Refuse{
        e->request,
        {core::ErrorId::kOutcomeUnknown, "peer", ""},
        e->sent ? core::RunState::kUnknown : core::RunState::kNotRun,
        {}}};
  };
}

}  // namespace

// clang-format off
TEST_GROUP(Forward){};
// clang-format on

TEST(Forward, a_request_runs_at_the_peer_for_the_same_account) {
  FakeServer engine(AlwaysReply(EngineReply("far")));
  {
    TestShell owner(SendTo(engine.address()), WithPeers());
    TestShell entry(ForwardTo(PeerAddress(owner)), WithPeers());
    const std::string answer = SendRequest(
        entry, ModelPost("x", false,
                         "Idempotency-Key: k1\r\nx-deadline-ms: 9000\r\n"
                         "X-Team: sales\r\n"));
    CHECK_TEXT(Has(answer, "far"), answer.c_str());
    const auto arrived = owner.WaitFor<router::RequestArrived>();
    CHECK(arrived.has_value());
    STRCMP_EQUAL("tours", arrived->forwarded_account->value().c_str());
    STRCMP_EQUAL("k1", arrived->idempotency_key.c_str());
    STRCMP_EQUAL("", arrived->api_key.c_str());
    CHECK(arrived->deadline.has_value());
    CHECK(entry.WaitFor<router::ForwardEnded>()->answered);
  }
}

TEST(Forward, a_stream_is_relayed_token_by_token) {
  std::atomic<bool> first_seen{false};
  FakeServer engine([&first_seen](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead() + TokenChunk("early"));
    while (!first_seen) {
      std::this_thread::yield();
    }
    socket.Send(TokenChunk("late") + Chunk("data: [DONE]\n\n") + kLastChunk);
    socket.ReadMessage();
  });
  {
    TestShell owner(SendTo(engine.address()), WithPeers());
    TestShell entry(ForwardTo(PeerAddress(owner)), WithPeers());
    RawSocket caller = entry.Caller();
    caller.Send(ModelPost("x", true));
    CHECK(Has(caller.ReadUntil("early"), "early"));
    first_seen = true;
    const std::string rest = caller.ReadUntil(kLastChunk);
    CHECK(Has(rest, "late") && Has(rest, "[DONE]"));
    CHECK(rest.ends_with(kLastChunk));
  }
}

TEST(Forward, a_stream_truncated_at_the_peer_is_truncated_for_the_caller) {
  // The peer's engine fails after a token. The caller of the other router must
  // see the same as with a local engine: one error event and no normal end.
  FakeServer engine([](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.Send(StreamHead() + TokenChunk("half"));
  });
  {
    TestShell owner(SendTo(engine.address()), WithPeers());
    TestShell entry(ForwardTo(PeerAddress(owner)), WithPeers());
    const std::string answer = SendRequest(entry, ModelPost("x", true));
    CHECK_TEXT(Has(answer, "half"), answer.c_str());
    CHECK(Has(answer, "event: error"));
    CHECK(answer.find("event: error") == answer.rfind("event: error"));
    CHECK_FALSE(Has(answer, "[DONE]"));
    CHECK_FALSE(answer.ends_with(kLastChunk));
    const auto ended = entry.WaitFor<router::ForwardEnded>();
    CHECK_FALSE(ended->answered);
    CHECK(ended->relayed);
  }
}

TEST(Forward, a_refusal_of_the_peer_reaches_the_caller_as_it_is) {
  TestShell owner(
      [](const router::Event& event) -> TestShell::Actions {
        if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
          return {router::Refuse{e->request,
                                 {core::ErrorId::kBudgetExhausted, "b1", ""},
                                 core::RunState::kNotRun,
                                 std::chrono::seconds(3)}};
        }
        return {};
      },
      WithPeers());
  TestShell entry(ForwardTo(PeerAddress(owner)), WithPeers());
  const std::string answer = SendRequest(entry, ModelPost("x"));
  CHECK_TEXT(answer.starts_with("HTTP/1.1 402"), answer.c_str());
  CHECK(Has(answer, "CV-403"));
  CHECK(Has(answer, "x-coppervalve-run-state: not_run"));
  CHECK(Has(answer, "retry-after: 3"));
}

TEST(Forward, a_peer_that_cannot_be_reached_was_not_sent_anything) {
  TestShell entry(ForwardTo("127.0.0.1:1"), WithPeers());
  CHECK(Has(SendRequest(entry, ModelPost("x")), "\"run_state\":\"not_run\""));
}

TEST(Forward, a_forward_to_an_ended_process_does_not_run) {
  // The key may run in one process only, and that one was restarted. The new
  // process has no record of it: running it could hold a seat twice.
  FakeServer engine(AlwaysReply(EngineReply("twice")));
  {
    net::ShellHooks hooks;
    hooks.handler = [&engine](core::TimePoint, const router::Event& event) {
      return SendTo(engine.address())(event);
    };
    hooks.incarnation = [] { return core::Incarnation(8); };
    net::Shell restarted(WithPeers(), std::move(hooks));
    CHECK(core::IsOk(restarted.Start()));
    TestShell entry(
        ForwardTo("127.0.0.1:" + std::to_string(restarted.peer_port())),
        WithPeers());
    const std::string answer = SendRequest(entry, ModelPost("x"));
    CHECK_TEXT(Has(answer, "CV-506"), answer.c_str());
    LONGS_EQUAL(0, engine.connections());
  }
}

TEST(Forward, a_disconnect_of_the_caller_is_reported_to_the_peer) {
  FakeServer engine([](RawSocket& socket, size_t) {
    socket.ReadMessage();
    socket.WaitForClose();
  });
  {
    TestShell owner(
        [&engine](const router::Event& event) -> TestShell::Actions {
          if (const auto* e = std::get_if<router::CallerDisconnected>(&event)) {
            return {router::CancelAttempt{e->request,
                                          core::AttemptId(e->request.value())}};
          }
          return SendTo(engine.address())(event);
        },
        WithPeers());
    TestShell entry(
        [address = PeerAddress(owner)](
            const router::Event& event) -> TestShell::Actions {
          if (const auto* e = std::get_if<router::CallerDisconnected>(&event)) {
            return {router::CancelAttempt{e->request, core::AttemptId()}};
          }
          return ForwardTo(address)(event);
        },
        WithPeers());
    RawSocket caller = entry.Caller();
    caller.Send(ModelPost("x"));
    CHECK(owner.WaitFor<router::RequestArrived>().has_value());
    caller.Close();
    CHECK(entry.WaitFor<router::CallerDisconnected>().has_value());
    CHECK(owner.WaitFor<router::CallerDisconnected>().has_value());
  }
}

TEST(Forward, messages_reach_the_core_of_the_peer) {
  TestShell receiver([](const router::Event&) { return TestShell::Actions(); },
                     WithPeers());
  v1::PeerMessage message;
  message.set_from_router("r1");
  const auto send =
      [&message](const std::string& address) -> TestShell::Decide {
    return
        [&message, address](const router::Event& event) -> TestShell::Actions {
          if (std::holds_alternative<router::AddressesRequested>(event)) {
            return {router::SendPeer{core::RouterId("r2"), address, message}};
          }
          return {};
        };
  };
  const std::string trigger = "GET /v1/addresses HTTP/1.1\r\nHost: r\r\n\r\n";
  TestShell sender(send(PeerAddress(receiver)), WithPeers());
  sender.Caller().Send(trigger);
  const auto received = receiver.WaitFor<router::PeerReceived>();
  CHECK(received.has_value());
  STRCMP_EQUAL("r1", received->message.from_router().c_str());

  TestShell lonely(send("127.0.0.1:1"), WithPeers());
  lonely.Caller().Send(trigger);
  CHECK(lonely.WaitFor<router::PeerSendFailed>().has_value());
}
