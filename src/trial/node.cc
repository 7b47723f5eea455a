#include "coppervalve/trial/node.h"

#include <algorithm>  // min
#include <utility>    // exchange, move
#include <variant>    // visit

#include "coppervalve/trial/fleet.h"

namespace coppervalve::trial {

using core::Duration;
using core::RequestId;

namespace {

constexpr Duration kUpstreamDelay = std::chrono::milliseconds(1);
constexpr Duration kFirstToken = std::chrono::milliseconds(20);
constexpr Duration kLogTimeout = std::chrono::milliseconds(500);
constexpr Duration kPollInterval = std::chrono::milliseconds(10);
constexpr Duration kProbeTime = std::chrono::milliseconds(20);
constexpr Duration kOrderTimeout = std::chrono::seconds(5);
constexpr Duration kForwardTimeout = std::chrono::seconds(3);
constexpr uint32_t kMinutesPerDay = 1440;
constexpr size_t kDomains = 3;

router::RouterSettings SettingsOf(const Fleet& fleet, size_t index) {
  router::RouterSettings settings;
  settings.router = RouterName(index);
  settings.caller_address = settings.router.value() + ":caller";
  settings.peer_address = settings.router.value() + ":peer";
  settings.operator_address = settings.router.value() + ":operator";
  settings.failure_domain =
      core::FailureDomainId("d" + std::to_string(index % kDomains));
  settings.region = "region";
  settings.sizing = fleet.options().sizing;
  settings.writer = fleet.options().writer;
  return settings;
}

}  // namespace

Node::Node(Fleet& fleet, size_t index) : m_fleet(fleet), m_index(index) {}

void Node::Start() {
  ++m_generation;
  m_paused = false;
  m_exiting = false;
  m_core = std::make_unique<router::RouterCore>(
      SettingsOf(m_fleet, m_index),
      router::RouterHooks{
          [this] { return m_fleet.Random(); },
          [](core::TimePoint now) {
            return static_cast<uint32_t>(
                std::chrono::duration_cast<std::chrono::minutes>(
                    now.time_since_epoch())
                    .count() %
                kMinutesPerDay);
          }});
  ScheduleTick();
}

// The callers' connections break; peers that forwarded a request to this node
// get a failure for the incomplete answer.
void Node::Kill() {
  ++m_generation;
  m_core.reset();
  m_mailbox.clear();
  m_call_by_attempt.clear();
  const auto calls = std::exchange(m_calls, {});
  for (const auto& [id, call] : calls) {
    if (call.done) {
      continue;
    }
    if (call.on_forward_done) {
      call.on_forward_done({false, true, {}});
    } else {
      m_fleet.EndClientAttempt(call.client_attempt,
                               ClientAttempt::State::kDisconnected);
    }
  }
}

void Node::Pause() {
  m_paused = true;
}

void Node::Resume() {
  m_paused = false;
  for (router::Event& event : std::exchange(m_mailbox, {})) {
    if (!alive()) {
      return;
    }
    Handle(event);
  }
}

void Node::Drain() {
  Deliver(router::DrainRequested{});
}

void Node::Schedule(Duration delay, std::function<void()> action) {
  m_fleet.timeline().After(
      delay, [this, generation = m_generation, action = std::move(action)] {
        if (generation == m_generation) {
          action();
        }
      });
}

void Node::ScheduleTick() {
  Schedule(m_fleet.options().tick, [this] {
    if (!m_paused) {
      Handle(router::Tick{});
    }
    if (alive()) {
      ScheduleTick();
    }
  });
}

void Node::Deliver(router::Event event) {
  if (!alive()) {
    return;
  }
  if (m_paused) {
    m_mailbox.push_back(std::move(event));
    return;
  }
  Handle(event);
}

void Node::Handle(const router::Event& event) {
  for (const router::Action& action : m_core->Handle(m_fleet.now(), event)) {
    std::visit([this](const auto& a) { ExecuteAction(a); }, action);
  }
  if (m_exiting) {
    Kill();
  }
}

// ---- Callers ---------------------------------------------------------------

RequestId Node::NewCall(Call call) {
  const RequestId id(++m_last_request);
  m_calls.emplace(id, std::move(call));
  return id;
}

router::RequestArrived Node::ArrivalOf(RequestId id,
                                       size_t client_attempt) const {
  const ClientRequest& client_request =
      m_fleet.client_requests()[m_fleet.client_attempts()[client_attempt]
                                    .client_request];
  router::RequestArrived event;
  event.request = id;
  event.method = "POST";
  event.path = client_request.model.empty()
                   ? "/v1/services/" + client_request.service
                   : "/v1/chat/completions";
  event.api_key = "demo-" + client_request.account.value();
  event.body_hash = core::HashOf(
      std::to_string(m_fleet.client_attempts()[client_attempt].client_request));
  event.body_size = client_request.body_size;
  event.model = client_request.model;
  event.service = core::ServiceId(client_request.service);
  event.max_output_tokens = client_request.max_output;
  event.idempotency_key = client_request.key;
  return event;
}

void Node::ReceiveRequest(size_t client_attempt) {
  const RequestId id = NewCall({client_attempt, nullptr, {}, {}, false, {}});
  m_call_by_attempt[client_attempt] = id;
  Deliver(ArrivalOf(id, client_attempt));
}

void Node::OnCallerDisconnected(size_t client_attempt) {
  const auto found = m_call_by_attempt.find(client_attempt);
  if (found != m_call_by_attempt.end()) {
    Deliver(router::CallerDisconnected{found->second});
  }
}

std::optional<RequestId> Node::ReceiveForward(
    core::Incarnation to,
    size_t client_attempt,
    core::AccountId account,
    std::function<void(const ForwardResult&)> done) {
  if (!alive() || to != m_core->incarnation()) {
    done({false, false, {}});
    return std::nullopt;
  }
  const RequestId id =
      NewCall({client_attempt, std::move(done), {}, {}, false, {}});
  router::RequestArrived event = ArrivalOf(id, client_attempt);
  event.forwarded_account = std::move(account);
  Deliver(std::move(event));
  return id;
}

void Node::Complete(RequestId id, size_t answered_request) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  call.done = true;
  call.answered_request = answered_request;
  if (call.on_forward_done) {
    call.on_forward_done({true, true, {}});
  } else {
    m_fleet.client_attempts()[call.client_attempt].answered_request =
        answered_request;
    m_fleet.EndClientAttempt(call.client_attempt,
                             ClientAttempt::State::kComplete);
  }
  const std::vector<RequestId> joiners = std::exchange(call.joiners, {});
  for (const RequestId joiner : joiners) {
    Complete(joiner, answered_request);
  }
}

void Node::Fail(RequestId id, const router::Refuse& refuse) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end() || found->second.done) {
    return;
  }
  Call& call = found->second;
  call.done = true;
  if (call.on_forward_done) {
    call.on_forward_done({true, true, refuse});
    return;
  }
  EndRefused(call.client_attempt, refuse);
}

void Node::EndRefused(size_t number, const router::Refuse& refuse) {
  ClientAttempt& client_attempt = m_fleet.client_attempts()[number];
  if (client_attempt.state != ClientAttempt::State::kOpen) {
    return;
  }
  client_attempt.error = refuse.error.id;
  client_attempt.run_state = refuse.run_state;
  client_attempt.retry_after = refuse.retry_after;
  m_fleet.EndClientAttempt(number, ClientAttempt::State::kRefused);
}

void Node::ExecuteAction(const router::Refuse& action) {
  Fail(action.request, action);
}

void Node::ExecuteAction(const router::JoinAnswer& action) {
  const auto leader = m_calls.find(action.leader);
  const auto joiner = m_calls.find(action.request);
  if (leader == m_calls.end() || joiner == m_calls.end()) {
    return;
  }
  if (leader->second.answered_request.has_value()) {
    Complete(action.request, *leader->second.answered_request);
    return;
  }
  leader->second.joiners.push_back(action.request);
}

void Node::ExecuteAction(const router::ForgetAnswer& action) {
  m_calls.erase(action.request);
}

void Node::ExecuteAction(const router::ReplyJson& action) {
  (void)action;
}

void Node::ExecuteAction(const router::LogLine& action) {
  m_fleet.OnLogLine(m_index, action);
}

void Node::ExecuteAction(const router::Exit& action) {
  (void)action;
  m_exiting = true;
}

// ---- Upstreams -------------------------------------------------------------

void Node::ExecuteAction(const router::Dispatch& action) {
  Schedule(kUpstreamDelay, [this, action] { RunAttempt(action); });
}

void Node::RunAttempt(const router::Dispatch& action) {
  const auto found = m_calls.find(action.request);
  if (found == m_calls.end()) {
    return;
  }
  const size_t client_attempt = found->second.client_attempt;
  const size_t client_request_index =
      m_fleet.client_attempts()[client_attempt].client_request;
  const ClientRequest client_request =
      m_fleet.client_requests()[client_request_index];
  const AttemptOutcome attempt_outcome = m_fleet.NextAttemptOutcome(m_index);
  if (attempt_outcome == AttemptOutcome::kNotSent) {
    Deliver(router::AttemptNotSent{
        action.request,
        action.attempt,
        {core::ErrorId::kUpstreamFailed, action.upstream.value(), "refused"}});
    return;
  }
  if (attempt_outcome == AttemptOutcome::kDeclined) {
    Deliver(router::AttemptDeclined{action.request, action.attempt, 429,
                                    std::nullopt, std::nullopt});
    return;
  }
  const core::Tokens output =
      std::min(client_request.output, action.max_output_tokens);
  const size_t run =
      m_fleet.RecordExecution(client_attempt, client_request.prompt + output);
  if (attempt_outcome == AttemptOutcome::kSilent) {
    Schedule(action.first_token_timeout, [this, action] {
      Deliver(router::AttemptFailed{
          action.request,
          action.attempt,
          {core::ErrorId::kUpstreamSilent, action.upstream.value(), ""},
          false,
          core::Tokens(0)});
    });
    return;
  }
  if (attempt_outcome == AttemptOutcome::kTruncated) {
    Schedule(client_request.duration / 2, [this, action] {
      Deliver(router::AttemptFailed{
          action.request,
          action.attempt,
          {core::ErrorId::kAnswerCut, action.upstream.value(), ""},
          false,
          core::Tokens(0)});
    });
    return;
  }
  Schedule(std::min(kFirstToken, client_request.duration), [this, action] {
    Deliver(router::AttemptFirstToken{action.request, action.attempt});
  });
  Schedule(client_request.duration,
           [this, action, client_request, output, run, client_request_index] {
             m_fleet.executions()[run].complete = true;
             // The caller receives the answer while the control thread is
             // notified.
             router::AttemptDone done;
             done.request = action.request;
             done.attempt = action.attempt;
             if (action.model_work && m_fleet.reports_usage()) {
               done.usage = router::Usage{client_request.prompt, output};
             }
             if (m_paused) {
               m_mailbox.push_back(done);
               return;
             }
             Complete(action.request, client_request_index);
             Deliver(done);
           });
}

void Node::ExecuteAction(const router::CancelAttempt& action) {
  (void)action;
}

void Node::ExecuteAction(const router::ProbeUpstream& action) {
  Schedule(kProbeTime, [this, action] {
    const bool healthy =
        m_fleet.NextAttemptOutcome(m_index) == AttemptOutcome::kAnswered;
    Deliver(router::ProbeEnded{action.upstream, healthy, std::nullopt});
  });
}

void Node::ExecuteAction(const router::SendOrder& action) {
  Schedule(kUpstreamDelay, [this, action] { RunOrder(action); });
}

// A pause may fall between the decision to send an order and its first byte;
// the order is then sent when the process resumes.
void Node::RunOrder(const router::SendOrder& action) {
  if (m_paused) {
    Schedule(kPollInterval, [this, action] { RunOrder(action); });
    return;
  }
  router::OrderSent ended{action.upstream, action.fencing};
  const AttemptOutcome attempt_outcome = m_fleet.NextAttemptOutcome(m_index);
  if (attempt_outcome == AttemptOutcome::kNotSent ||
      attempt_outcome == AttemptOutcome::kDeclined) {
    ended.outcome = attempt_outcome == AttemptOutcome::kNotSent
                        ? orders::SendOutcome::kNotSent
                        : orders::SendOutcome::kRefused;
    Deliver(ended);
    return;
  }
  const bool taken = m_fleet.engine_orders().Apply(
      {action.upstream, action.fencing, action.order});
  ended.outcome =
      taken ? orders::SendOutcome::kDone : orders::SendOutcome::kRefused;
  if (attempt_outcome != AttemptOutcome::kAnswered) {
    ended.outcome = orders::SendOutcome::kUnknown;
    Schedule(kOrderTimeout, [this, ended] { Deliver(ended); });
    return;
  }
  Schedule(kUpstreamDelay, [this, ended] { Deliver(ended); });
}

// ---- Peers -----------------------------------------------------------------

void Node::ExecuteAction(const router::SendPeer& action) {
  ++m_peer_messages;
  m_peer_bytes += action.message.ByteSizeLong();
  Node* peer = m_fleet.FindRouter(action.router);
  if (peer == nullptr || !peer->alive() ||
      m_fleet.IsPartitioned(m_index, peer->index())) {
    Schedule(kPollInterval, [this, action] {
      Deliver(router::PeerSendFailed{action.router});
    });
    return;
  }
  m_fleet.timeline().After(
      m_fleet.options().peer_delay, [this, peer, message = action.message] {
        if (!m_fleet.IsPartitioned(m_index, peer->index())) {
          peer->Deliver(router::PeerReceived{message});
        }
      });
}

void Node::ExecuteAction(const router::Forward& action) {
  const auto found = m_calls.find(action.request);
  if (found == m_calls.end()) {
    return;
  }
  const size_t client_attempt = found->second.client_attempt;
  Node* peer = m_fleet.FindRouter(action.router);
  struct PendingForward {
    bool ended = false;
    std::optional<RequestId> there;
  };
  auto pending_forward = std::make_shared<PendingForward>();
  const auto end = [this, id = action.request,
                    pending_forward](const ForwardResult& result) {
    if (!std::exchange(pending_forward->ended, true)) {
      Schedule(m_fleet.options().peer_delay,
               [this, id, result] { EndForward(id, result); });
    }
  };
  if (peer == nullptr || m_fleet.IsPartitioned(m_index, peer->index())) {
    end({false, false, {}});
    return;
  }
  m_fleet.timeline().After(m_fleet.options().peer_delay, [=] {
    pending_forward->there = peer->ReceiveForward(
        action.incarnation, client_attempt, action.account, end);
  });
  // A forward that times out resets its stream, which the peer sees as a
  // disconnected caller.
  Schedule(kForwardTimeout, [=] {
    if (!pending_forward->ended && pending_forward->there.has_value()) {
      peer->Deliver(router::CallerDisconnected{*pending_forward->there});
    }
    end({false, true, {}});
  });
}

void Node::EndForward(RequestId id, const ForwardResult& end) {
  const auto call = m_calls.find(id);
  if (call == m_calls.end()) {
    return;
  }
  const size_t client_attempt = call->second.client_attempt;
  if (end.answered && end.refusal.has_value()) {
    call->second.done = true;
    EndRefused(client_attempt, *end.refusal);
  } else if (end.answered && !call->second.done) {
    Complete(id, m_fleet.client_attempts()[client_attempt].client_request);
  }
  Deliver(router::ForwardEnded{id, end.answered, end.sent, false});
}

// ---- The log ---------------------------------------------------------------

void Node::ExecuteAction(const router::ReadLog& action) {
  Schedule(m_fleet.options().log_delay / 2,
           [this, action] { Poll(action, m_fleet.now() + action.wait); });
}

void Node::Poll(const router::ReadLog& read, core::TimePoint until) {
  const LogLink& link = m_fleet.log_link(m_index);
  if (!link.up) {
    Schedule(kLogTimeout, [this] {
      Deliver(router::LogReadFailed{
          {core::ErrorId::kLogUnavailable, "log", "down"}});
    });
    return;
  }
  if (m_fleet.log().end() <= read.from && m_fleet.now() < until) {
    Schedule(kPollInterval, [this, read, until] { Poll(read, until); });
    return;
  }
  Schedule(m_fleet.options().log_delay / 2 + link.extra_delay,
           [this, reply = m_fleet.log().Read(read.from)] {
             Deliver(router::LogRead{reply});
           });
}

void Node::ExecuteAction(const router::AppendLog& action) {
  const LogLink& link = m_fleet.log_link(m_index);
  const Duration delay = m_fleet.options().log_delay + link.extra_delay;
  const router::LogAppendFailed failed{
      {core::ErrorId::kLogUnavailable, "log", "no reply"}};
  if (!link.up) {
    Schedule(kLogTimeout, [this, failed] { Deliver(failed); });
    return;
  }
  // An append that was sent takes effect even if the sender is killed before
  // the reply.
  m_fleet.timeline().After(delay / 2, [this, generation = m_generation,
                                       entry = action.entry, delay, failed] {
    const core::LogOffset offset = m_fleet.log().Append(entry);
    if (generation != m_generation) {
      return;
    }
    if (m_fleet.RandomFraction() < m_fleet.log_link(m_index).lose_replies) {
      Schedule(kLogTimeout, [this, failed] { Deliver(failed); });
      return;
    }
    Schedule(delay / 2,
             [this, offset] { Deliver(router::LogAppended{offset}); });
  });
}

}  // namespace coppervalve::trial
