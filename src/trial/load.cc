#include "coppervalve/trial/load.h"

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

bool IsLackOfTokens(const Ticket& ticket) {
  return ticket.error == core::ErrorId::kBudgetExhausted ||
         ticket.error == core::ErrorId::kBudgetBusy;
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

Load::Load(Fleet& fleet, Audit& audit, LoadOptions options)
    : m_fleet(fleet), m_audit(audit), m_options(options) {
  m_fleet.SetOnTicket([this](size_t ticket) { OnTicket(ticket); });
}

double Load::Share() {
  return m_fleet.RandomShare();
}

void Load::Start() {
  m_running = true;
  ScheduleNext();
}

void Load::ScheduleNext() {
  const double gap = -std::log(1.0 - Share()) / m_options.per_second;
  m_fleet.timeline().After(
      Duration(static_cast<int64_t>(gap * kMicrosPerSecond)), [this] {
        if (!m_running) {
          return;
        }
        Try(m_fleet.Wants(MakeWish()));
        ScheduleNext();
      });
}

Wish Load::MakeWish() {
  const auto account =
      static_cast<size_t>(Share() * static_cast<double>(m_options.accounts));
  Wish wish;
  wish.account = core::AccountId("a" + std::to_string(account));
  wish.budget = core::BudgetId("b" + std::to_string(account));
  const double kind = Share();
  if (kind < m_options.hold_share) {
    wish.admission_class = v1::GATE;
    wish.non_idempotent = true;
    wish.service = "holds";
    wish.body_size = core::Bytes(40);
    wish.prompt = Tokens(kCallCost);
    wish.duration = std::chrono::milliseconds(5);
  } else {
    const bool draft = kind < m_options.hold_share + m_options.draft_share;
    wish.admission_class = draft ? v1::BATCH : v1::INTERACTIVE;
    wish.model = draft ? "draft" : "chat";
    const auto bytes =
        static_cast<int64_t>((draft ? 800 : 200) * (0.5 + Share()));
    wish.body_size = core::Bytes(bytes);
    wish.prompt = Tokens(bytes / 4);
    wish.max_output = Tokens(draft ? 600 : 100);
    wish.output = Tokens(static_cast<int64_t>(
        static_cast<double>(wish.max_output.value()) * (0.3 + 0.7 * Share())));
    wish.duration = Duration(wish.output.value() * 4'000);
  }
  return wish;
}

size_t Load::PickNode() {
  const auto size = static_cast<double>(m_fleet.size());
  // The density grows linearly from 1 to `load_skew` over the routers.
  const double rise = m_options.uneven - 1;
  double share = Share();
  if (rise > 0) {
    const double area = share * (1 + rise / 2);
    share = (std::sqrt(1 + 2 * rise * area) - 1) / rise;
  }
  return static_cast<size_t>(share * size);
}

void Load::Try(size_t number) {
  Pending& pending = m_pending[number];
  ++pending.tries;
  const size_t node = PickNode();
  const Wish& wish = m_fleet.wishes()[number];
  const bool keyed = wish.non_idempotent || Share() < m_options.keyed_share;
  if (pending.tries == 1 && keyed) {
    std::string key = "k" + std::to_string(++m_last_key);
    if (Share() < m_options.bound_share && m_fleet.node(node).alive()) {
      key = request::KeyPrefix(
                {RouterName(node), m_fleet.node(node).core().incarnation()}) +
            key;
    }
    m_fleet.SetKey(number, std::move(key));
  }
  const size_t ticket = m_fleet.Send(number, node);
  m_pending[number].ticket = ticket;
  m_fleet.timeline().After(m_options.caller_patience,
                           [this, ticket] { m_fleet.CloseTicket(ticket); });
}

void Load::OnTicket(size_t number) {
  const Ticket& ticket = m_fleet.tickets()[number];
  const size_t wish_number = ticket.wish;
  Pending& pending = m_pending[wish_number];
  const Wish& wish = m_fleet.wishes()[wish_number];
  if (ticket.state == Ticket::State::kWhole) {
    pending.ended = true;
    return;
  }
  const bool refused = ticket.state == Ticket::State::kRefused;
  const bool falsely =
      refused && IsLackOfTokens(ticket) && m_audit.WouldRun(wish);
  if (falsely) {
    ++m_false_refusals[wish.admission_class];
  }
  const bool final_unknown = refused &&
                             ticket.run_state != core::RunState::kNotRun &&
                             wish.non_idempotent;
  if (pending.tries >= m_options.max_tries || final_unknown ||
      (wish.key.empty() && !refused)) {
    pending.ended = true;
    if (falsely) {
      EndFalsely(wish_number);
    }
    return;
  }
  const Duration pause =
      std::max(kRetryPause, ticket.retry_after.value_or(kRetryPause));
  m_fleet.timeline().After(pause, [this, wish_number] { Try(wish_number); });
}

// Counts each available token once: under overload the same few tokens in
// transfer between routers would otherwise make every refusal count as lost,
// although they suffice for one request only.
void Load::EndFalsely(size_t number) {
  Pending& pending = m_pending[number];
  const Wish& wish = m_fleet.wishes()[number];
  core::Tokens& lost = m_lost[wish.budget];
  pending.false_end = true;
  pending.lost = m_audit.WouldRun(wish, lost);
  lost += pending.lost ? wish.Cost() : Tokens(0);
}

std::map<v1::AdmissionClass, ClassCount> Load::Count() const {
  std::map<v1::AdmissionClass, ClassCount> counts;
  for (const auto& [wish_number, pending] : m_pending) {
    const Wish& wish = m_fleet.wishes()[wish_number];
    ClassCount& count = counts[wish.admission_class];
    ++count.wishes;
    count.false_ends += pending.false_end ? 1 : 0;
    count.lost += pending.lost ? 1 : 0;
    if (!pending.ended || !pending.ticket.has_value()) {
      ++count.open;
      continue;
    }
    const Ticket& ticket = m_fleet.tickets()[*pending.ticket];
    const bool not_run = ticket.state == Ticket::State::kRefused &&
                         ticket.run_state == core::RunState::kNotRun;
    if (ticket.state == Ticket::State::kWhole) {
      ++count.whole;
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

ClassCount Load::Total() const {
  ClassCount total;
  for (const auto& [admission_class, count] : Count()) {
    total.wishes += count.wishes;
    total.whole += count.whole;
    total.refused += count.refused;
    total.unknown += count.unknown;
    total.open += count.open;
    total.false_refusals += count.false_refusals;
    total.false_ends += count.false_ends;
    total.lost += count.lost;
  }
  return total;
}

}  // namespace coppervalve::trial
