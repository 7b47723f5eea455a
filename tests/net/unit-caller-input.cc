#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "fake_server.h"
#include "test_shell.h"

using namespace coppervalve;
using namespace coppervalve::net::testing;

namespace {

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Returns everything that one connection receives for these bytes.
std::string SendRequest(TestShell& shell, const std::string& bytes) {
  RawSocket caller = shell.Caller();
  caller.Send(bytes);
  return caller.ReadMessage();
}

net::ShellSettings ShortTimeoutSettings() {
  net::ShellSettings settings = TestShell::Settings();
  settings.caller.header_timeout = std::chrono::milliseconds(200);
  settings.caller.body_timeout = std::chrono::milliseconds(200);
  return settings;
}

TestShell::Actions RefuseAll(const router::Event& event) {
  if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
    return {router::Refuse{e->request,
                           {core::ErrorId::kBudgetBusy, "b1", "try later"},
                           core::RunState::kNotRun,
                           std::chrono::milliseconds(1500)}};
  }
  return {};
}

}  // namespace

// clang-format off
TEST_GROUP(CallerInput) {
  TestShell shell{RefuseAll};

  void CheckRefused(const std::string& answer, const std::string& status,
                    const std::string& id) {
    CHECK_TEXT(answer.starts_with("HTTP/1.1 " + status), answer.c_str());
    CHECK_TEXT(Has(answer, "\"id\":\"" + id + "\""), answer.c_str());
    CHECK_TEXT(Has(answer, "\"run_state\":\"not_run\""), answer.c_str());
    CHECK_TEXT(Has(answer, "x-coppervalve-run-state: not_run"), answer.c_str());
  }
};
// clang-format on

TEST(CallerInput, a_refusal_states_its_reason_and_when_to_retry) {
  const std::string answer = SendRequest(shell, ModelPost("hello"));
  CheckRefused(answer, "503", "CV-404");
  CHECK(Has(answer, "\"retry_after_ms\":1500"));
  CHECK(Has(answer, "retry-after: 2\r\n"));
}

TEST(CallerInput,
     a_request_reaches_the_core_with_all_fields_that_its_rules_use) {
  SendRequest(
      shell,
      Post(
          "/v1/chat/completions",
          R"({"model":"m1","max_tokens":40,"messages":[{"role":"user","content":"hi there"}]})",
          "Idempotency-Key: k1\r\nx-deadline-ms: 5000\r\nX-Team: sales\r\n"));
  const auto event = shell.WaitFor<router::RequestArrived>();
  CHECK(event.has_value());
  STRCMP_EQUAL("m1", event->model.c_str());
  STRCMP_EQUAL("hi there", event->prompt_prefix.c_str());
  STRCMP_EQUAL("key-1", event->api_key.c_str());
  STRCMP_EQUAL("k1", event->idempotency_key.c_str());
  LONGS_EQUAL(40, event->max_output_tokens.value());
  CHECK(event->deadline.has_value());
  bool has_team = false;
  for (const auto& [name, value] : event->headers) {
    has_team = has_team || (name == "x-team" && value == "sales");
    CHECK_FALSE(name == "authorization");
  }
  CHECK(has_team);
}

TEST(CallerInput, a_service_request_names_its_service) {
  SendRequest(shell, Post("/v1/services/seats/hold/7?gate=2", "{}"));
  const auto event = shell.WaitFor<router::RequestArrived>();
  CHECK(event.has_value());
  STRCMP_EQUAL("seats", event->service.value().c_str());
  STRCMP_EQUAL("/v1/services/seats/hold/7", event->path.c_str());
}

TEST(CallerInput, a_body_above_the_limit_is_refused_by_its_content_length) {
  // The caller announces a length above the limit and starts to send. It gets a
  // typed error immediately; the router never buffers the body.
  CheckRefused(
      SendRequest(shell, Post("/v1/completions", std::string(5000, 'x'))),
      "413", "CV-302");
  LONGS_EQUAL(0, shell.Count<router::RequestArrived>());
}

TEST(CallerInput, a_chunked_body_above_the_limit_is_refused) {
  std::string bytes =
      "POST /v1/completions HTTP/1.1\r\nHost: r\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 6; ++i) {
    bytes += Chunk(std::string(1000, 'x'));
  }
  CheckRefused(SendRequest(shell, bytes), "413", "CV-302");
}

TEST(CallerInput, malformed_json_is_refused) {
  CheckRefused(SendRequest(shell, Post("/v1/completions", R"({"model":"m1",)")),
               "400", "CV-304");
}

TEST(CallerInput, json_that_is_nested_too_deeply_is_refused) {
  // A body of only opening brackets would otherwise exhaust the parser's stack
  // and crash the process, which ends the requests of all callers.
  const std::string nested(2000, '[');
  CheckRefused(SendRequest(shell, Post("/v1/completions", nested)), "400",
               "CV-304");
}

TEST(CallerInput, fields_that_multiply_the_output_are_refused) {
  // The budget reserves one output of max_tokens. Four choices would each spend
  // that much, so the account would exceed its budget.
  for (const char* field : {R"("n":4)", R"("best_of":2)", R"("n":1.5)"}) {
    const std::string body =
        R"({"model":"m1","prompt":"x",)" + std::string(field) + "}";
    CheckRefused(SendRequest(shell, Post("/v1/completions", body)), "400",
                 "CV-301");
  }
  CheckRefused(SendRequest(shell, Post("/v1/completions",
                                       R"({"model":"m1","prompt":["a","b"]})")),
               "400", "CV-301");
}

TEST(CallerInput, bad_chunking_is_refused) {
  CheckRefused(SendRequest(shell,
                           "POST /v1/completions HTTP/1.1\r\nHost: r\r\n"
                           "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n"),
               "400", "CV-301");
}

TEST(CallerInput, a_message_with_two_framings_is_refused) {
  // Request smuggling: with two framings, two readers see different requests in
  // the same bytes, and the second one would run for another caller.
  CheckRefused(
      SendRequest(shell,
                  "POST /v1/completions HTTP/1.1\r\nHost: r\r\n"
                  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "0\r\n\r\n"),
      "400", "CV-301");
}

TEST(CallerInput, a_header_above_the_limit_is_refused) {
  CheckRefused(
      SendRequest(shell, "GET /v1/addresses HTTP/1.1\r\nHost: r\r\nX-Big: " +
                             std::string(20000, 'a') + "\r\n\r\n"),
      "431", "CV-303");
}

TEST(CallerInput, a_sender_that_stops_in_its_body_is_refused) {
  // The caller sends half of its body and then nothing. Without the timeout its
  // connection would stay open forever. The error may state that the request
  // was not run, because nothing was sent to an upstream.
  TestShell short_timeout_shell(RefuseAll, ShortTimeoutSettings());
  CheckRefused(SendRequest(short_timeout_shell,
                           "POST /v1/completions HTTP/1.1\r\nHost: r\r\n"
                           "Content-Length: 100\r\n\r\nhalf"),
               "408", "CV-310");
}

TEST(CallerInput, a_sender_that_stops_in_its_header_is_refused) {
  TestShell short_timeout_shell(RefuseAll, ShortTimeoutSettings());
  CheckRefused(SendRequest(short_timeout_shell,
                           "POST /v1/completions HTTP/1.1\r\nHost:"),
               "408", "CV-310");
}

TEST(CallerInput, unknown_paths_and_methods_are_refused) {
  CheckRefused(SendRequest(shell, Post("/v2/unknown", "")), "404", "CV-306");
  CheckRefused(
      SendRequest(shell, "GET /v1/completions HTTP/1.1\r\nHost: r\r\n\r\n"),
      "405", "CV-307");
}

TEST(CallerInput, a_connection_serves_one_request_after_another) {
  RawSocket caller = shell.Caller();
  for (int i = 0; i < 3; ++i) {
    caller.Send(ModelPost("again"));
    CheckRefused(caller.ReadMessage(), "503", "CV-404");
  }
  CHECK(shell.WaitForCount<router::RequestArrived>(3));
}

TEST(CallerInput, pipelined_requests_are_answered_in_order) {
  RawSocket caller = shell.Caller();
  caller.Send(ModelPost("one") + ModelPost("two"));
  CheckRefused(caller.ReadMessage(), "503", "CV-404");
  CheckRefused(caller.ReadMessage(), "503", "CV-404");
}

TEST(CallerInput, a_caller_that_expects_100_continue_gets_it) {
  RawSocket caller = shell.Caller();
  const std::string request =
      ModelPost("hello", false, "Expect: 100-continue\r\n");
  const size_t body = request.find("\r\n\r\n") + 4;
  caller.Send(request.substr(0, body));
  CHECK(Has(caller.ReadUntil("\r\n\r\n"), "100 Continue"));
  caller.Send(request.substr(body));
  CheckRefused(caller.ReadMessage(), "503", "CV-404");
}
