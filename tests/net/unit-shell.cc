#include <CppUTest/TestHarness.h>

#include <atomic>  // atomic
#include <string>  // string
#include <thread>  // thread

#include "fake_server.h"
#include "test_shell.h"

using namespace coppervalve;
using namespace coppervalve::net::testing;

namespace {

const std::string kToken = "Authorization: Bearer operator-secret\r\n";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string AskOperator(TestShell& shell,
                        const std::string& start,
                        const std::string& headers = "") {
  RawSocket socket = shell.Operator();
  socket.Send(start + " HTTP/1.1\r\nHost: r\r\n" + headers + "\r\n");
  return socket.ReadMessage();
}

TestShell::Decide WithPhase(std::string phase) {
  return [phase = std::move(phase)](
             const router::Event& event) -> TestShell::Actions {
    if (const auto* e = std::get_if<router::OperatorStatusRequested>(&event)) {
      return {
          router::ReplyJson{e->request, 200, "{\"phase\":\"" + phase + "\"}"}};
    }
    return {};
  };
}

// Dispatches requests until a drain is requested, then exits immediately.
TestShell::Decide ExitOnDrain(const std::string& upstream) {
  return [decide = SendTo(upstream)](
             const router::Event& event) -> TestShell::Actions {
    if (std::holds_alternative<router::DrainRequested>(event)) {
      return {router::Exit{}};
    }
    return decide(event);
  };
}

}  // namespace

// clang-format off
TEST_GROUP(Shell){};
// clang-format on

TEST(Shell, readiness_follows_the_phase_of_the_core) {
  TestShell active(WithPhase("active"));
  CHECK(AskOperator(active, "GET /readyz").starts_with("HTTP/1.1 200"));
  CHECK(AskOperator(active, "GET /healthz").starts_with("HTTP/1.1 200"));
  CHECK(Has(AskOperator(active, "GET /metrics"), "up 1"));
  TestShell stale(WithPhase("stale"));
  CHECK(AskOperator(stale, "GET /readyz").starts_with("HTTP/1.1 503"));
}

TEST(Shell, operators_need_their_token) {
  TestShell shell(WithPhase("active"));
  CHECK(Has(AskOperator(shell, "GET /admin/status"), "CV-305"));
  CHECK(Has(AskOperator(shell, "POST /admin/drain",
                        "Authorization: Bearer guess\r\n"),
            "CV-305"));
  LONGS_EQUAL(0, shell.Count<router::DrainRequested>());
  CHECK(Has(AskOperator(shell, "GET /admin/status", kToken), "active"));
}

TEST(Shell, without_a_token_no_operator_command_is_accepted) {
  // A router without the setting would otherwise accept an empty token.
  net::ShellSettings settings = TestShell::Settings();
  settings.operator_token = "";
  TestShell shell(WithPhase("active"), settings);
  CHECK(Has(AskOperator(shell, "POST /admin/drain"), "CV-305"));
  CHECK(
      Has(AskOperator(shell, "POST /admin/drain", "Authorization: Bearer \r\n"),
          "CV-305"));
}

TEST(Shell, a_second_drain_changes_nothing) {
  TestShell shell(WithPhase("draining"));
  CHECK(AskOperator(shell, "POST /admin/drain", kToken)
            .starts_with("HTTP/1.1 202"));
  CHECK(AskOperator(shell, "POST /admin/drain", kToken)
            .starts_with("HTTP/1.1 202"));
  shell.shell().Drain();
  CHECK(Has(AskOperator(shell, "GET /admin/status", kToken), "draining"));
  LONGS_EQUAL(1, shell.Count<router::DrainRequested>());
}

TEST(Shell, an_answer_being_written_is_not_truncated_by_the_exit) {
  // The core exits while the answer of a slow caller is still being written. It
  // must arrive completely before the process ends.
  const std::string text(6 * 1024 * 1024, 'a');
  FakeServer engine(AlwaysReply(EngineReply(text)));
  {
    TestShell shell(ExitOnDrain(engine.address()));
    RawSocket caller = shell.Caller();
    caller.Send(ModelPost("x"));
    CHECK(shell.WaitFor<router::AttemptDone>().has_value());
    shell.shell().Drain();
    std::thread ending([&shell] { shell.shell().WaitForExit(); });
    const std::string answer = caller.ReadMessage();
    caller.Close();
    ending.join();
    CHECK(answer.size() > text.size());
    CHECK(Has(answer, "\"usage\""));
  }
}

TEST(Shell, idle_connections_do_not_delay_the_exit) {
  TestShell shell(ExitOnDrain("127.0.0.1:1"));
  RawSocket idle = shell.Caller();
  idle.Send(ModelPost("x"));
  idle.ReadMessage();
  shell.shell().Drain();
  shell.shell().WaitForExit();
  CHECK(idle.WaitForClose());
}

TEST(Shell, answers_of_a_draining_router_close_the_connection) {
  TestShell shell(SendTo("127.0.0.1:1"));
  RawSocket caller = shell.Caller();
  caller.Send(ModelPost("x"));
  CHECK_FALSE(Has(caller.ReadMessage(), "onnection: close"));
  shell.shell().Drain();
  caller.Send(ModelPost("x"));
  CHECK(Has(caller.ReadMessage(), "onnection: close"));
  CHECK(caller.WaitForClose());
}

TEST(Shell, a_port_in_use_is_a_typed_error) {
  TestShell first(WithPhase("active"));
  net::ShellSettings settings = TestShell::Settings();
  settings.caller_listen =
      "127.0.0.1:" + std::to_string(first.shell().caller_port());
  net::ShellHooks hooks;
  hooks.handler = [](core::TimePoint, const router::Event&) {
    return TestShell::Actions();
  };
  net::Shell second(settings, hooks);
  const core::Status status = second.Start();
  CHECK(!core::IsOk(status));
  CHECK(core::Failure(status).id == core::ErrorId::kAddressUnavailable);
}
