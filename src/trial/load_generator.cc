#include "coppervalve/trial/load_generator.h"

#include <cmath>    // log, sqrt
#include <string>   // string, to_string
#include <utility>  // move

#include "coppervalve/core/hash.h"
#include "coppervalve/request/key_name.h"

namespace coppervalve::trial {

using core::Duration;
using core::Tokens;

namespace {

constexpr size_t kEngines = 4;
constexpr int64_t kCallCost = 5;
constexpr Duration kRetryPause = std::chrono::milliseconds(200);
constexpr double kMicrosPerSecond = 1e6;

v1::Rule RouteRule(const std::string& id,
                   v1::AdmissionClass admission_class,
                   bool non_idempotent) {
  v1::Rule rule;
  rule.set_id(id);
  v1::Route& route = *rule.mutable_then()->mutable_route();
  route.set_admission_class(admission_class);
  route.set_non_idempotent(non_idempotent);
  return rule;
}

bool IsLackOfTokens(const ClientAttempt& client_attempt) {
  return client_attempt.error == core::ErrorId::kBudgetExhausted ||
         client_attempt.error == core::ErrorId::kBudgetBusy;
}

}  // namespace

v1::Configuration TrialConfiguration(const LoadOptions& options) {
  v1::Configuration configuration;
  configuration.set_name("trial");
  for (size_t i = 0; i < options.accounts; ++i) {
    const std::string number = std::to_string(i);
    v1::Account& account = *configuration.add_accounts();
    account.set_id("a" + number);
    account.add_api_key_sha256(core::Sha256Hex("demo-a" + number));
    account.set_budget("b" + number);
    v1::Budget& budget = *configuration.add_budgets();
    budget.set_id("b" + number);
    budget.set_account("a" + number);
    budget.set_prepaid_tokens(options.prepaid);
    budget.set_gate_reserve_permille(options.gate_reserve_permille);
  }
  for (size_t i = 0; i < kEngines; ++i) {
    v1::Upstream& engine = *configuration.add_upstreams();
    engine.set_id("engine-" + std::to_string(i));
    engine.set_kind(v1::MODEL_ENGINE);
    engine.set_address("engine-" + std::to_string(i));
    engine.add_models("draft");
    engine.add_models("chat");
    engine.set_max_concurrency(256);
    engine.set_checks_fencing(i % 2 == 0);
  }
  v1::Upstream& service = *configuration.add_upstreams();
  service.set_id("holds-0");
  service.set_kind(v1::PLAIN_SERVICE);
  service.set_address("holds-0");
  service.set_service("holds");
  service.set_call_cost_tokens(kCallCost);
  service.set_max_concurrency(256);

  v1::Rule holds = RouteRule("holds", v1::GATE, true);
  holds.mutable_when()->add_services("holds");
  v1::Rule chat = RouteRule("chat", v1::INTERACTIVE, false);
  chat.mutable_when()->add_models("chat");
  v1::Rule draft = RouteRule("draft", v1::BATCH, false);
  draft.mutable_when()->add_models("draft");
  *configuration.add_rules() = std::move(holds);
  *configuration.add_rules() = std::move(chat);
  *configuration.add_rules() = std::move(draft);
  return configuration;
}

LoadGenerator::LoadGenerator(Fleet& fleet, Audit& audit, LoadOptions options)
    : m_fleet(fleet), m_audit(audit), m_options(options) {
  m_fleet.SetOnAttemptEnded(
      [this](size_t client_attempt) { OnAttemptEnded(client_attempt); });
}

double LoadGenerator::NextFraction() {
  return m_fleet.RandomFraction();
}

void LoadGenerator::Start() {
  m_running = true;
  ScheduleNext();
}

void LoadGenerator::ScheduleNext() {
  const double gap = -std::log(1.0 - NextFraction()) / m_options.per_second;
  m_fleet.timeline().After(
      Duration(static_cast<int64_t>(gap * kMicrosPerSecond)), [this] {
        if (!m_running) {
          return;
        }
        SendAttempt(m_fleet.AddRequest(MakeClientRequest()));
        ScheduleNext();
      });
}

ClientRequest LoadGenerator::MakeClientRequest() {
  const auto account = static_cast<size_t>(
      NextFraction() * static_cast<double>(m_options.accounts));
  ClientRequest client_request;
  client_request.account = core::AccountId("a" + std::to_string(account));
  client_request.budget = core::BudgetId("b" + std::to_string(account));
  const double kind = NextFraction();
  if (kind < m_options.gate_share) {
    client_request.admission_class = v1::GATE;
    client_request.non_idempotent = true;
    client_request.service = "holds";
    client_request.body_size = core::Bytes(40);
    client_request.prompt = Tokens(kCallCost);
    client_request.duration = std::chrono::milliseconds(5);
  } else {
    const bool draft = kind < m_options.gate_share + m_options.batch_share;
    client_request.admission_class = draft ? v1::BATCH : v1::INTERACTIVE;
    client_request.model = draft ? "draft" : "chat";
    const auto bytes =
        static_cast<int64_t>((draft ? 800 : 200) * (0.5 + NextFraction()));
    client_request.body_size = core::Bytes(bytes);
    client_request.prompt = Tokens(bytes / 4);
    client_request.max_output = Tokens(draft ? 600 : 100);
    client_request.output = Tokens(static_cast<int64_t>(
        static_cast<double>(client_request.max_output.value()) *
        (0.3 + 0.7 * NextFraction())));
    client_request.duration = Duration(client_request.output.value() * 4'000);
  }
  return client_request;
}

size_t LoadGenerator::PickNode() {
  const auto size = static_cast<double>(m_fleet.size());
  // The density grows linearly from 1 to `load_skew` over the routers.
  const double rise = m_options.load_skew - 1;
  double share = NextFraction();
  if (rise > 0) {
    const double area = share * (1 + rise / 2);
    share = (std::sqrt(1 + 2 * rise * area) - 1) / rise;
  }
  return static_cast<size_t>(share * size);
}

void LoadGenerator::SendAttempt(size_t number) {
  Pending& pending = m_pending[number];
  ++pending.attempts;
  const size_t node = PickNode();
  const ClientRequest& client_request = m_fleet.client_requests()[number];
  const bool keyed =
      client_request.non_idempotent || NextFraction() < m_options.keyed_share;
  if (pending.attempts == 1 && keyed) {
    std::string key = "k" + std::to_string(++m_last_key);
    if (NextFraction() < m_options.origin_bound_share &&
        m_fleet.node(node).alive()) {
      key = request::KeyPrefix(
                {RouterName(node), m_fleet.node(node).core().incarnation()}) +
            key;
    }
    m_fleet.SetKey(number, std::move(key));
  }
  const size_t client_attempt = m_fleet.Send(number, node);
  m_pending[number].client_attempt = client_attempt;
  m_fleet.timeline().After(m_options.caller_timeout, [this, client_attempt] {
    m_fleet.CloseClientAttempt(client_attempt);
  });
}

void LoadGenerator::OnAttemptEnded(size_t number) {
  const ClientAttempt& client_attempt = m_fleet.client_attempts()[number];
  const size_t client_request_index = client_attempt.client_request;
  Pending& pending = m_pending[client_request_index];
  const ClientRequest& client_request =
      m_fleet.client_requests()[client_request_index];
  if (client_attempt.state == ClientAttempt::State::kComplete) {
    pending.ended = true;
    return;
  }
  const bool refused = client_attempt.state == ClientAttempt::State::kRefused;
  const bool false_refusal = refused && IsLackOfTokens(client_attempt) &&
                             m_audit.HasTokensFor(client_request);
  if (false_refusal) {
    ++m_false_refusals[client_request.admission_class];
  }
  const bool outcome_unknown =
      refused && client_attempt.run_state != core::RunState::kNotRun &&
      client_request.non_idempotent;
  if (pending.attempts >= m_options.max_attempts || outcome_unknown ||
      (client_request.key.empty() && !refused)) {
    pending.ended = true;
    if (false_refusal) {
      RecordFalseFinalRefusal(client_request_index);
    }
    return;
  }
  const Duration pause =
      std::max(kRetryPause, client_attempt.retry_after.value_or(kRetryPause));
  m_fleet.timeline().After(pause, [this, client_request_index] {
    SendAttempt(client_request_index);
  });
}

// Counts each available token once: under overload the same few tokens in
// transfer between routers would otherwise make every refusal count as lost,
// although they suffice for one request only.
void LoadGenerator::RecordFalseFinalRefusal(size_t number) {
  Pending& pending = m_pending[number];
  const ClientRequest& client_request = m_fleet.client_requests()[number];
  core::Tokens& lost = m_lost[client_request.budget];
  pending.false_final_refusal = true;
  pending.lost = m_audit.HasTokensFor(client_request, lost);
  lost += pending.lost ? client_request.Cost() : Tokens(0);
}

std::map<v1::AdmissionClass, ClassCount> LoadGenerator::Count() const {
  std::map<v1::AdmissionClass, ClassCount> counts;
  for (const auto& [client_request_index, pending] : m_pending) {
    const ClientRequest& client_request =
        m_fleet.client_requests()[client_request_index];
    ClassCount& count = counts[client_request.admission_class];
    ++count.client_requests;
    count.false_final_refusals += pending.false_final_refusal ? 1 : 0;
    count.lost += pending.lost ? 1 : 0;
    if (!pending.ended || !pending.client_attempt.has_value()) {
      ++count.open;
      continue;
    }
    const ClientAttempt& client_attempt =
        m_fleet.client_attempts()[*pending.client_attempt];
    const bool not_run =
        client_attempt.state == ClientAttempt::State::kRefused &&
        client_attempt.run_state == core::RunState::kNotRun;
    if (client_attempt.state == ClientAttempt::State::kComplete) {
      ++count.complete;
    } else if (not_run) {
      ++count.refused;
    } else {
      ++count.unknown;
    }
  }
  for (const auto& [admission_class, number] : m_false_refusals) {
    counts[admission_class].false_refusals = number;
  }
  return counts;
}

ClassCount LoadGenerator::Total() const {
  ClassCount total;
  for (const auto& [admission_class, count] : Count()) {
    total.client_requests += count.client_requests;
    total.complete += count.complete;
    total.refused += count.refused;
    total.unknown += count.unknown;
    total.open += count.open;
    total.false_refusals += count.false_refusals;
    total.false_final_refusals += count.false_final_refusals;
    total.lost += count.lost;
  }
  return total;
}

}  // namespace coppervalve::trial
