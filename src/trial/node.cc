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
constexpr Duration kPollStep = std::chrono::milliseconds(10);
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
  return settings;
}

}  // namespace

Node::Node(Fleet& fleet, size_t index) : m_fleet(fleet), m_index(index) {}

void Node::Start() {
  ++m_life;
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
// learn that the answer is incomplete.
void Node::Kill() {
  ++m_life;
  m_core.reset();
  m_mailbox.clear();
  m_by_ticket.clear();
  const auto calls = std::exchange(m_calls, {});
  for (const auto& [id, call] : calls) {
    if (call.done) {
      continue;
    }
    if (call.relay) {
      call.relay({false, true, {}});
    } else {
      m_fleet.EndTicket(call.ticket, Ticket::State::kBroken);
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
  Deliver(router::DrainAsked{});
}

void Node::Later(Duration delay, std::function<void()> action) {
  m_fleet.timeline().After(delay,
                           [this, life = m_life, action = std::move(action)] {
                             if (life == m_life) {
                               action();
                             }
                           });
}

void Node::ScheduleTick() {
  Later(m_fleet.options().tick, [this] {
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
    std::visit([this](const auto& a) { Do(a); }, action);
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

router::RequestArrived Node::ArrivalOf(RequestId id, size_t ticket) const {
  const Wish& wish = m_fleet.wishes()[m_fleet.tickets()[ticket].wish];
  router::RequestArrived event;
  event.request = id;
  event.method = "POST";
  event.path = wish.model.empty() ? "/v1/services/" + wish.service
                                  : "/v1/chat/completions";
  event.api_key = "demo-" + wish.account.value();
  event.body_hash =
      core::HashOf(std::to_string(m_fleet.tickets()[ticket].wish));
  event.body_size = wish.body_size;
  event.model = wish.model;
  event.service = core::ServiceId(wish.service);
  event.max_output_tokens = wish.max_output;
  event.idempotency_key = wish.key;
  return event;
}

void Node::Open(size_t ticket) {
  const RequestId id = NewCall({ticket, nullptr, {}, {}, false, {}});
  m_by_ticket[ticket] = id;
  Deliver(ArrivalOf(id, ticket));
}

void Node::Hang(size_t ticket) {
  const auto found = m_by_ticket.find(ticket);
  if (found != m_by_ticket.end()) {
    Deliver(router::CallerGone{found->second});
  }
}

std::optional<RequestId> Node::OpenForward(
    core::Incarnation to,
    size_t ticket,
    core::AccountId account,
    std::function<void(const RelayEnd&)> done) {
  if (!alive() || to != m_core->incarnation()) {
    done({false, false, {}});
    return std::nullopt;
  }
  const RequestId id = NewCall({ticket, std::move(done), {}, {}, false, {}});
  router::RequestArrived event = ArrivalOf(id, ticket);
  event.forwarded_account = std::move(account);
  Deliver(std::move(event));
  return id;
}

void Node::Complete(RequestId id, size_t answer_of_wish) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  Call& call = found->second;
  call.done = true;
  call.answer_of_wish = answer_of_wish;
  if (call.relay) {
    call.relay({true, true, {}});
  } else {
    m_fleet.tickets()[call.ticket].answer_of_wish = answer_of_wish;
    m_fleet.EndTicket(call.ticket, Ticket::State::kWhole);
  }
  const std::vector<RequestId> joiners = std::exchange(call.joiners, {});
  for (const RequestId joiner : joiners) {
    Complete(joiner, answer_of_wish);
  }
}

void Node::Fail(RequestId id, const router::Refuse& refuse) {
  const auto found = m_calls.find(id);
  if (found == m_calls.end() || found->second.done) {
    return;
  }
  Call& call = found->second;
  call.done = true;
  if (call.relay) {
    call.relay({true, true, refuse});
    return;
  }
  EndRefused(call.ticket, refuse);
}

void Node::EndRefused(size_t number, const router::Refuse& refuse) {
  Ticket& ticket = m_fleet.tickets()[number];
  if (ticket.state != Ticket::State::kOpen) {
    return;
  }
  ticket.error = refuse.error.id;
  ticket.run_state = refuse.run_state;
  ticket.retry_after = refuse.retry_after;
  m_fleet.EndTicket(number, Ticket::State::kRefused);
}

void Node::Do(const router::Refuse& action) {
  Fail(action.request, action);
}

void Node::Do(const router::JoinAnswer& action) {
  const auto leader = m_calls.find(action.leader);
  const auto joiner = m_calls.find(action.request);
  if (leader == m_calls.end() || joiner == m_calls.end()) {
    return;
  }
  if (leader->second.answer_of_wish.has_value()) {
    Complete(action.request, *leader->second.answer_of_wish);
    return;
  }
  leader->second.joiners.push_back(action.request);
}

void Node::Do(const router::ForgetAnswer& action) {
  m_calls.erase(action.request);
}

void Node::Do(const router::ReplyJson& action) {
  (void)action;
}

void Node::Do(const router::LogLine& action) {
  m_fleet.OnLogLine(m_index, action);
}

void Node::Do(const router::Exit& action) {
  (void)action;
  m_exiting = true;
}

// ---- Upstreams -------------------------------------------------------------

void Node::Do(const router::Dispatch& action) {
  Later(kUpstreamDelay, [this, action] { RunAttempt(action); });
}

void Node::RunAttempt(const router::Dispatch& action) {
  const auto found = m_calls.find(action.request);
  if (found == m_calls.end()) {
    return;
  }
  const size_t ticket = found->second.ticket;
  const size_t wish_number = m_fleet.tickets()[ticket].wish;
  const Wish wish = m_fleet.wishes()[wish_number];
  const AttemptFate fate = m_fleet.NextFate();
  if (fate == AttemptFate::kNotSent) {
    Deliver(router::AttemptNotSent{
        action.request,
        action.attempt,
        {core::ErrorId::kUpstreamFailed, action.upstream.value(), "refused"}});
    return;
  }
  if (fate == AttemptFate::kDeclined) {
    Deliver(router::AttemptDeclined{action.request, action.attempt, 429,
                                    std::nullopt, std::nullopt});
    return;
  }
  const core::Tokens output = std::min(wish.output, action.max_output_tokens);
  const size_t run = m_fleet.Execute(ticket, wish.prompt + output);
  if (fate == AttemptFate::kSilent) {
    Later(action.first_token_timeout, [this, action] {
      Deliver(router::AttemptFailed{
          action.request,
          action.attempt,
          {core::ErrorId::kUpstreamSilent, action.upstream.value(), ""},
          false,
          core::Tokens(0)});
    });
    return;
  }
  if (fate == AttemptFate::kCut) {
    Later(wish.duration / 2, [this, action] {
      Deliver(router::AttemptFailed{
          action.request,
          action.attempt,
          {core::ErrorId::kAnswerCut, action.upstream.value(), ""},
          false,
          core::Tokens(0)});
    });
    return;
  }
  Later(std::min(kFirstToken, wish.duration), [this, action] {
    Deliver(router::AttemptFirstToken{action.request, action.attempt});
  });
  Later(wish.duration, [this, action, wish, output, run, wish_number] {
    m_fleet.executions()[run].whole = true;
    // The caller receives the answer while the control thread is notified.
    router::AttemptDone done;
    done.request = action.request;
    done.attempt = action.attempt;
    if (action.model_work && m_fleet.reports_usage()) {
      done.usage = router::Usage{wish.prompt, output};
    }
    if (m_paused) {
      m_mailbox.push_back(done);
      return;
    }
    Complete(action.request, wish_number);
    Deliver(done);
  });
}

void Node::Do(const router::CancelAttempt& action) {
  (void)action;
}

void Node::Do(const router::ProbeUpstream& action) {
  Later(kProbeTime, [this, action] {
    const bool healthy = m_fleet.NextFate() == AttemptFate::kAnswered;
    Deliver(router::ProbeEnded{action.upstream, healthy, std::nullopt});
  });
}

void Node::Do(const router::SendOrder& action) {
  Later(kUpstreamDelay, [this, action] { RunOrder(action); });
}

// A pause may fall between the decision to send an order and its first byte;
// the order is then sent when the process resumes.
void Node::RunOrder(const router::SendOrder& action) {
  if (m_paused) {
    Later(kPollStep, [this, action] { RunOrder(action); });
    return;
  }
  router::OrderSent ended{action.upstream, action.fencing};
  const AttemptFate fate = m_fleet.NextFate();
  if (fate == AttemptFate::kNotSent || fate == AttemptFate::kDeclined) {
    ended.outcome = fate == AttemptFate::kNotSent
                        ? orders::SendOutcome::kNotSent
                        : orders::SendOutcome::kRefused;
    Deliver(ended);
    return;
  }
  const bool taken = m_fleet.engine_orders().Arrive(
      {action.upstream, action.fencing, action.order});
  ended.outcome =
      taken ? orders::SendOutcome::kDone : orders::SendOutcome::kRefused;
  if (fate != AttemptFate::kAnswered) {
    ended.outcome = orders::SendOutcome::kUnknown;
    Later(kOrderTimeout, [this, ended] { Deliver(ended); });
    return;
  }
  Later(kUpstreamDelay, [this, ended] { Deliver(ended); });
}

// ---- Peers -----------------------------------------------------------------

void Node::Do(const router::SendPeer& action) {
  ++m_peer_messages;
  m_peer_bytes += action.message.ByteSizeLong();
  Node* peer = m_fleet.FindRouter(action.router);
  if (peer == nullptr || !peer->alive() ||
      m_fleet.IsCut(m_index, peer->index())) {
    Later(kPollStep,
          [this, action] { Deliver(router::PeerSendFailed{action.router}); });
    return;
  }
  m_fleet.timeline().After(m_fleet.options().peer_delay,
                           [this, peer, message = action.message] {
                             if (!m_fleet.IsCut(m_index, peer->index())) {
                               peer->Deliver(router::PeerReceived{message});
                             }
                           });
}

void Node::Do(const router::Forward& action) {
  const auto found = m_calls.find(action.request);
  if (found == m_calls.end()) {
    return;
  }
  const size_t ticket = found->second.ticket;
  Node* peer = m_fleet.FindRouter(action.router);
  struct Relay {
    bool ended = false;
    std::optional<RequestId> there;
  };
  auto relay = std::make_shared<Relay>();
  const auto end = [this, id = action.request, relay](const RelayEnd& how) {
    if (!std::exchange(relay->ended, true)) {
      Later(m_fleet.options().peer_delay,
            [this, id, how] { EndForward(id, how); });
    }
  };
  if (peer == nullptr || m_fleet.IsCut(m_index, peer->index())) {
    end({false, false, {}});
    return;
  }
  m_fleet.timeline().After(m_fleet.options().peer_delay, [=] {
    relay->there =
        peer->OpenForward(action.incarnation, ticket, action.account, end);
  });
  // A forward that times out resets its stream, which the peer sees as a
  // disconnected caller.
  Later(kForwardTimeout, [=] {
    if (!relay->ended && relay->there.has_value()) {
      peer->Deliver(router::CallerGone{*relay->there});
    }
    end({false, true, {}});
  });
}

void Node::EndForward(RequestId id, const RelayEnd& end) {
  const auto call = m_calls.find(id);
  if (call == m_calls.end()) {
    return;
  }
  const size_t ticket = call->second.ticket;
  if (end.answered && end.refusal.has_value()) {
    call->second.done = true;
    EndRefused(ticket, *end.refusal);
  } else if (end.answered && !call->second.done) {
    Complete(id, m_fleet.tickets()[ticket].wish);
  }
  Deliver(router::ForwardEnded{id, end.answered, end.sent, false});
}

// ---- The log ---------------------------------------------------------------

void Node::Do(const router::ReadLog& action) {
  Later(m_fleet.options().log_delay / 2,
        [this, action] { Poll(action, m_fleet.now() + action.wait); });
}

void Node::Poll(const router::ReadLog& read, core::TimePoint until) {
  const LogLink& link = m_fleet.log_link(m_index);
  if (!link.up) {
    Later(kLogTimeout, [this] {
      Deliver(router::LogReadFailed{
          {core::ErrorId::kLogUnavailable, "log", "down"}});
    });
    return;
  }
  if (m_fleet.log().end() <= read.from && m_fleet.now() < until) {
    Later(kPollStep, [this, read, until] { Poll(read, until); });
    return;
  }
  Later(m_fleet.options().log_delay / 2 + link.extra_delay,
        [this, reply = m_fleet.log().Read(read.from)] {
          Deliver(router::LogRead{reply});
        });
}

void Node::Do(const router::AppendLog& action) {
  const LogLink& link = m_fleet.log_link(m_index);
  const Duration delay = m_fleet.options().log_delay + link.extra_delay;
  const router::LogAppendFailed failed{
      {core::ErrorId::kLogUnavailable, "log", "no reply"}};
  if (!link.up) {
    Later(kLogTimeout, [this, failed] { Deliver(failed); });
    return;
  }
  // An append that was sent takes effect even if the sender is killed before
  // the reply.
  m_fleet.timeline().After(delay / 2, [this, life = m_life,
                                       entry = action.entry, delay, failed] {
    const core::LogOffset offset = m_fleet.log().Append(entry);
    if (life != m_life) {
      return;
    }
    if (m_fleet.RandomShare() < m_fleet.log_link(m_index).lose_replies) {
      Later(kLogTimeout, [this, failed] { Deliver(failed); });
      return;
    }
    Later(delay / 2, [this, offset] { Deliver(router::LogAppended{offset}); });
  });
}

}  // namespace coppervalve::trial
