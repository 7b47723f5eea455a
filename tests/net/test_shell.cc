#include "test_shell.h"

#include <chrono>   // seconds
#include <utility>  // move

namespace coppervalve::net::testing {

namespace {

constexpr std::chrono::seconds kPatience{30};

// The reaction of SendTo to an attempt without an answer.
template <typename Failure>
TestShell::Actions RefuseAfter(const Failure& failure,
                               core::RunState run_state) {
  return {router::Refuse{failure.request, failure.error, run_state, {}}};
}

}  // namespace

TestShell::TestShell(Decide decide, ShellSettings settings) {
  ShellHooks hooks;
  hooks.handler = [this, decide = std::move(decide)](
                      core::TimePoint, const router::Event& event) {
    if (std::holds_alternative<router::Tick>(event)) {
      return Actions();
    }
    Actions actions = decide(event);
    const std::scoped_lock lock(m_mutex);
    m_events.push_back(event);
    m_came.notify_all();
    return actions;
  };
  hooks.metrics_text = [] { return std::string("up 1\n"); };
  m_shell = std::make_unique<Shell>(std::move(settings), std::move(hooks));
  if (!core::IsOk(m_shell->Start())) {
    m_shell.reset();
  }
}

ShellSettings TestShell::Settings() {
  ShellSettings settings;
  settings.router_id = "r1";
  settings.caller_listen = "127.0.0.1:0";
  settings.operator_listen = "127.0.0.1:0";
  settings.log_address = "127.0.0.1:1";
  settings.operator_token = "operator-secret";
  settings.caller.max_body_bytes = 4096;
  // So long that, even on a busy machine, only a test that waits for one of
  // them sees it expire.
  settings.caller.header_timeout = std::chrono::seconds(60);
  settings.caller.body_timeout = std::chrono::seconds(60);
  settings.log_timeout = std::chrono::seconds(60);
  settings.connect_timeout = std::chrono::seconds(20);
  settings.probe_timeout = std::chrono::seconds(20);
  return settings;
}

void TestShell::Wait(const std::function<bool()>& reached) {
  std::unique_lock lock(m_mutex);
  m_came.wait_for(lock, kPatience, reached);
}

router::Dispatch DispatchOf(core::RequestId request,
                            const std::string& address,
                            bool model_work) {
  router::Dispatch dispatch;
  dispatch.request = request;
  dispatch.attempt = core::AttemptId(request.value());
  dispatch.upstream = core::UpstreamId("u1");
  dispatch.address = address;
  dispatch.model_work = model_work;
  dispatch.account = core::AccountId("tours");
  dispatch.max_output_tokens = core::Tokens(64);
  dispatch.first_token_timeout = std::chrono::seconds(30);
  dispatch.inter_token_timeout = std::chrono::seconds(30);
  return dispatch;
}

TestShell::Decide SendTo(std::string address, bool model_work) {
  return [address = std::move(address),
          model_work](const router::Event& event) -> TestShell::Actions {
    if (const auto* e = std::get_if<router::RequestArrived>(&event)) {
      return {DispatchOf(e->request, address, model_work)};
    }
    if (const auto* e = std::get_if<router::AttemptNotSent>(&event)) {
      return RefuseAfter(*e, core::RunState::kNotRun);
    }
    if (const auto* e = std::get_if<router::AttemptFailed>(&event)) {
      return RefuseAfter(*e, core::RunState::kUnknown);
    }
    if (const auto* e = std::get_if<router::AttemptDeclined>(&event)) {
      return {router::Refuse{e->request,
                             {core::ErrorId::kNoUpstream, "u1", "declined"},
                             core::RunState::kNotRun,
                             e->retry_after}};
    }
    return {};
  };
}

std::string Post(const std::string& target,
                 const std::string& body,
                 const std::string& headers) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer key-1\r\n" +
         headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string ModelPost(const std::string& prompt,
                      bool stream,
                      const std::string& headers) {
  const std::string body = R"({"model":"m1","prompt":")" + prompt + "\"" +
                           (stream ? R"(,"stream":true)" : "") + "}";
  return Post("/v1/completions", body, headers);
}

}  // namespace coppervalve::net::testing
