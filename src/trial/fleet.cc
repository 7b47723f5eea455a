#include "coppervalve/trial/fleet.h"

#include <pcg_random.hpp>

#include <algorithm>  // minmax
#include <string>     // stoul, to_string

namespace coppervalve::trial {

struct Fleet::Chance {
  explicit Chance(uint64_t seed) : generator(seed) {}
  pcg64 generator;
};

core::RouterId RouterName(size_t node) {
  return core::RouterId("r" + std::to_string(node));
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options)),
      m_log(m_options.log_retain),
      m_chance(std::make_unique<Chance>(m_options.seed)),
      m_log_links(m_options.routers) {
  for (size_t i = 0; i < m_options.routers; ++i) {
    m_nodes.push_back(std::make_unique<Node>(*this, i));
  }
}

Fleet::~Fleet() = default;

void Fleet::Run(core::Duration duration) {
  m_timeline.RunUntil(m_timeline.now() + duration);
}

void Fleet::StartAll() {
  for (const auto& node : m_nodes) {
    node->Start();
  }
}

void Fleet::Publish(v1::Configuration configuration) {
  m_engine_orders.Configure(configuration);
  v1::Record record;
  v1::ConfigPublished& published = *record.mutable_config_published();
  published.set_based_on(m_config_version++);
  *published.mutable_configuration() = std::move(configuration);
  published.set_operator_name("trial");
  published.set_change_id("change-" + std::to_string(m_config_version));
  m_log.AppendAsOperator("trial", std::move(record));
}

void Fleet::TopUp(const core::BudgetId& budget, core::Tokens tokens) {
  v1::Record record;
  v1::ToppedUp& top_up = *record.mutable_topped_up();
  top_up.set_budget(budget.value());
  top_up.set_tokens(tokens.value());
  top_up.set_top_up_id("top-up-" + std::to_string(++m_top_ups));
  m_log.AppendAsOperator("trial", std::move(record));
}

void Fleet::Order(const core::UpstreamId& upstream, const std::string& model) {
  v1::Record record;
  record.mutable_order_issued()->set_upstream(upstream.value());
  record.mutable_order_issued()->set_load_model(model);
  m_log.AppendAsOperator("trial", std::move(record));
}

void Fleet::SettleOrder(const core::UpstreamId& upstream,
                        core::FencingNumber fencing) {
  v1::Record record;
  v1::OrderEnded& ended = *record.mutable_order_ended();
  ended.set_upstream(upstream.value());
  ended.set_fencing_number(fencing.value());
  ended.set_outcome(v1::SETTLED);
  m_log.AppendAsOperator("trial", std::move(record));
}

size_t Fleet::Wants(Wish wish) {
  m_wishes.push_back(std::move(wish));
  return m_wishes.size() - 1;
}

size_t Fleet::Send(size_t wish, size_t node) {
  Ticket ticket;
  ticket.wish = wish;
  ticket.node = node;
  ticket.opened = now();
  m_tickets.push_back(ticket);
  const size_t number = m_tickets.size() - 1;
  if (!m_nodes[node]->alive()) {
    // The connection is refused, so nothing ran.
    m_tickets[number].run_state = core::RunState::kNotRun;
    EndTicket(number, Ticket::State::kRefused);
    return number;
  }
  m_nodes[node]->Open(number);
  return number;
}

void Fleet::CloseTicket(size_t ticket) {
  if (m_tickets[ticket].state != Ticket::State::kOpen) {
    return;
  }
  Node& node = *m_nodes[m_tickets[ticket].node];
  EndTicket(ticket, Ticket::State::kBroken);
  node.Hang(ticket);
}

void Fleet::EndTicket(size_t number, Ticket::State state) {
  Ticket& ticket = m_tickets[number];
  if (ticket.state != Ticket::State::kOpen) {
    return;
  }
  ticket.state = state;
  ticket.ended = now();
  if (m_on_ticket) {
    m_on_ticket(number);
  }
}

size_t Fleet::Execute(size_t ticket, core::Tokens used) {
  m_executions.push_back({m_tickets[ticket].wish, ticket, used, false});
  return m_executions.size() - 1;
}

void Fleet::Cut(size_t a, size_t b, bool cut) {
  const auto link = std::minmax(a, b);
  if (cut) {
    m_cuts.insert(link);
  } else {
    m_cuts.erase(link);
  }
}

void Fleet::CutAll(size_t node, bool cut) {
  for (size_t other = 0; other < m_nodes.size(); ++other) {
    if (other != node) {
      Cut(node, other, cut);
    }
  }
}

bool Fleet::IsCut(size_t a, size_t b) const {
  return m_cuts.contains(std::minmax(a, b));
}

Node* Fleet::FindRouter(const core::RouterId& router) {
  for (const auto& node : m_nodes) {
    if (RouterName(node->index()) == router) {
      return node.get();
    }
  }
  return nullptr;
}

uint64_t Fleet::Random() {
  return m_chance->generator();
}

double Fleet::RandomShare() {
  return static_cast<double>(Random() >> 11U) * 0x1.0p-53;
}

void Fleet::OnLogLine(size_t node, const router::LogLine& line) {
  if (m_on_line) {
    m_on_line(node, line);
  }
}

}  // namespace coppervalve::trial
