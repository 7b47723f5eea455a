#include "coppervalve/gateway/exchange.h"

#include <algorithm>  // min, max
#include <utility>    // move, exchange

#include "come_back.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using entry::AttemptOutcome;
using entry::RouteKind;

constexpr core::Duration kLeastFirstByteWatch{250'000};
constexpr core::Duration kLeastGapWatch{700'000};
constexpr int kWatchFactor = 4;

}  // namespace

void Exchange::Refuse(const core::Error& error,
                      std::optional<core::Duration> retry_after) {
  const core::ErrorInfo& info = core::Describe(error.id);
  m_last_failure = error.subject + ": " + error.detail;
  m_caller->Answer(m_context.dialect.refusal(error, retry_after));
  Finish(info.name, info.http_status);
}

// After the point of no return nothing is promised: the status says neither
// "not run" nor "ran", and an answer that began must not look complete.
void Exchange::Fail(const core::Error& error) {
  const core::ErrorInfo& info = core::Describe(error.id);
  m_last_failure = error.subject + ": " + error.detail;
  if (m_answer_begun) {
    m_caller->Abort();
    Finish("answer_cut", 0);
    return;
  }
  m_caller->Answer(m_context.dialect.refusal(error, std::nullopt));
  Finish(info.name, info.http_status);
}

void Exchange::OnCallerLeft() {
  if (m_done) {
    return;
  }
  if (m_attempt) {
    const bool sent = m_attempt->connection->sent_any();
    m_may_have_run = m_may_have_run || sent;
    m_attempt->connection->Cancel();
    --m_attempt->upstream->in_flight;
    EndReading();
    m_attempt.reset();
  }
  Finish("caller_left", 0);
}

void Exchange::Settle() {
  if (m_reserved == core::Tokens(0)) {
    return;
  }
  core::Tokens used(0);
  if (m_may_have_run) {
    const entry::Service* service =
        m_admitted.configuration_index->FindService(m_admitted.service);
    const uint64_t per_event = service != nullptr && service->engine
                                   ? service->engine->tokens_per_event
                                   : 1;
    const core::Tokens output(
        static_cast<int64_t>(m_cutter.events() * per_event));
    used = std::min(m_reserved,
                    m_facts.prompt + std::min(output, m_facts.max_output));
  }
  const core::AccountId& account = m_admitted.account->name;
  if (m_by_gift) {
    m_context.book.SettleGiven(account, m_reserved, used);
  } else {
    m_context.book.Settle(account, m_reserved, used, net::BootNow());
  }
  m_reserved = core::Tokens(0);
}

void Exchange::Finish(std::string_view cause, int status) {
  if (m_done) {
    return;
  }
  m_done = true;
  m_timer.cancel();
  if (m_on_trial) {
    m_context.crashes.record().EndTrial(Print());
  }
  Settle();
  const bool admitted = m_admitted.route != nullptr;
  const RouteKind kind =
      admitted ? m_admitted.route->kind : RouteKind::kAtMostOnce;
  m_context.metrics.OnRequest(kind, cause);
  LogLine line("request");
  line.Text("id", m_facts.id).Text("outcome", cause).Number("status", status);
  if (admitted) {
    line.Text("rule", m_admitted.route->name.value())
        .Text("service", m_admitted.service.value())
        .Number("config",
                static_cast<int64_t>(
                    m_admitted.configuration_index->version().value()));
  }
  if (admitted && m_admitted.account != nullptr) {
    const core::AccountId& account = m_admitted.account->name;
    const auto figures = m_context.book.FiguresOf(account);
    line.Text("account", account.value())
        .Number("tokens_most", (m_facts.prompt + m_facts.max_output).value())
        .Number("total", figures.total.value_or(core::Tokens(0)).value())
        .Number("elsewhere", figures.others.value())
        .Number("lost", figures.lost.value())
        .Number("free", figures.free.value())
        .Number("ceiling", figures.ceiling.value())
        .Number("spent", figures.spent.value())
        .Number("reserved", figures.reserved.value())
        .Flag("by_gift", m_by_gift);
  }
  if (!m_tried.empty()) {
    line.Text("upstream", m_tried.back().value())
        .Text("placed_by", entry::ToString(m_placed.why))
        .Number("cost", static_cast<int64_t>(m_placed.cost))
        .Number("candidates", m_placed.candidates)
        .Number("reporting", m_placed.reporting)
        .Number("sends", m_sends);
  }
  if (m_print) {
    line.Text("content", m_print->ShortHex());
  }
  if (!m_last_failure.empty()) {
    line.Text("why", m_last_failure);
  }
  line.Number("events", static_cast<int64_t>(m_cutter.events()))
      .Millis("first_ms", m_first_byte)
      .Millis("whole_ms", net::BootNow() - m_request.arrived)
      .Number("store_up", m_context.contact.up() ? 1 : 0);
  m_context.log.Write(
      cause == "served" ? LineKind::kRoutine : LineKind::kTrouble, line);
}

std::optional<core::TimePoint> Exchange::WatchTime() const {
  if (!m_attempt || !Repeatable() ||
      m_sends + 1 >= m_admitted.route->max_attempts) {
    return std::nullopt;
  }
  const entry::Route& route = *m_admitted.route;
  if (!m_answer_begun) {
    return m_watch_from +
           std::max(route.target_latency * kWatchFactor, kLeastFirstByteWatch);
  }
  if (!IsStream()) {
    return std::nullopt;
  }
  return m_watch_from +
         std::max(route.target_gap * kWatchFactor, kLeastGapWatch);
}

void Exchange::ArmTimer() {
  core::TimePoint next = m_limit_at;
  if (m_wait_until && !m_borrowing) {
    next = std::min(next, *m_wait_until);
  }
  if (const auto watch = WatchTime()) {
    next = std::min(next, *watch);
  }
  const core::Duration wait = next - net::BootNow();
  m_timer.expires_after(std::max(wait, core::Duration(1'000)));
  m_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self && !self->m_done) {
          self->OnTimer();
        }
      });
}

void Exchange::OnTimer() {
  const core::TimePoint now = net::BootNow();
  if (now >= m_limit_at) {
    const bool sent = m_attempt && m_attempt->connection->sent_any();
    if (m_attempt) {
      CutAttempt(m_answer_begun ? AttemptOutcome::kBroken
                                : AttemptOutcome::kSilent);
    }
    if (sent || m_may_have_run) {
      Fail({core::ErrorId::kUpstreamSilent, m_last_failure,
            "no answer within the limit"});
    } else {
      Refuse({core::ErrorId::kQueueTimeout, m_admitted.service.value(),
              "not sent within the limit"},
             kSoon);
    }
    return;
  }
  if (m_wait_until && now >= *m_wait_until && !m_borrowing) {
    WaitForGrant();
    return;
  }
  const auto watch = WatchTime();
  if (watch && now >= *watch && TakeRepeat()) {
    CutAttempt(AttemptOutcome::kSilent);
    ForgetAnswer();
    Place();
    return;
  }
  if (watch && now >= *watch) {
    // No right to repeat now; look again a little later.
    m_watch_from = now;
  }
  ArmTimer();
}

}  // namespace coppervalve::gateway
