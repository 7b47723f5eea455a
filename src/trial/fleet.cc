#include "coppervalve/trial/fleet.h"

#include <pcg_random.hpp>

#include <algorithm>  // minmax
#include <string>     // stoul, to_string

namespace coppervalve::trial {

struct Fleet::RandomGenerator {
  explicit RandomGenerator(uint64_t seed) : generator(seed) {}
  pcg64 generator;
};

core::RouterId RouterName(size_t node) {
  return core::RouterId("r" + std::to_string(node));
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options)),
      m_log(m_options.log_retain),
      m_random_generator(std::make_unique<RandomGenerator>(m_options.seed)),
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

size_t Fleet::AddRequest(ClientRequest client_request) {
  m_client_requests.push_back(std::move(client_request));
  return m_client_requests.size() - 1;
}

size_t Fleet::Send(size_t client_request, size_t node) {
  ClientAttempt client_attempt;
  client_attempt.client_request = client_request;
  client_attempt.node = node;
  client_attempt.opened = now();
  m_client_attempts.push_back(client_attempt);
  const size_t number = m_client_attempts.size() - 1;
  if (!m_nodes[node]->alive()) {
    // The connection is refused, so nothing ran.
    m_client_attempts[number].run_state = core::RunState::kNotRun;
    EndClientAttempt(number, ClientAttempt::State::kRefused);
    return number;
  }
  m_nodes[node]->ReceiveRequest(number);
  return number;
}

void Fleet::CloseClientAttempt(size_t client_attempt) {
  if (m_client_attempts[client_attempt].state != ClientAttempt::State::kOpen) {
    return;
  }
  Node& node = *m_nodes[m_client_attempts[client_attempt].node];
  EndClientAttempt(client_attempt, ClientAttempt::State::kDisconnected);
  node.OnCallerDisconnected(client_attempt);
}

void Fleet::EndClientAttempt(size_t number, ClientAttempt::State state) {
  ClientAttempt& client_attempt = m_client_attempts[number];
  if (client_attempt.state != ClientAttempt::State::kOpen) {
    return;
  }
  client_attempt.state = state;
  client_attempt.ended = now();
  if (m_on_attempt_ended) {
    m_on_attempt_ended(number);
  }
}

size_t Fleet::RecordExecution(size_t client_attempt, core::Tokens used) {
  m_executions.push_back({m_client_attempts[client_attempt].client_request,
                          client_attempt, used, false});
  return m_executions.size() - 1;
}

void Fleet::SetPartitioned(size_t a, size_t b, bool partitioned) {
  const auto link = std::minmax(a, b);
  if (partitioned) {
    m_partitioned_links.insert(link);
  } else {
    m_partitioned_links.erase(link);
  }
}

void Fleet::SetPartitionedFromAll(size_t node, bool partitioned) {
  for (size_t other = 0; other < m_nodes.size(); ++other) {
    if (other != node) {
      SetPartitioned(node, other, partitioned);
    }
  }
}

void Fleet::SetPartitionedFromUpstreams(size_t node, bool partitioned) {
  if (partitioned) {
    m_partitioned_from_upstreams.insert(node);
  } else {
    m_partitioned_from_upstreams.erase(node);
  }
}

AttemptOutcome Fleet::NextAttemptOutcome(size_t node) {
  if (m_partitioned_from_upstreams.contains(node)) {
    return AttemptOutcome::kNotSent;
  }
  return m_attempt_outcome ? m_attempt_outcome() : AttemptOutcome::kAnswered;
}

bool Fleet::IsPartitioned(size_t a, size_t b) const {
  return m_partitioned_links.contains(std::minmax(a, b));
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
  return m_random_generator->generator();
}

double Fleet::RandomFraction() {
  return static_cast<double>(Random() >> 11U) * 0x1.0p-53;
}

void Fleet::OnLogLine(size_t node, const router::LogLine& line) {
  if (m_on_line) {
    m_on_line(node, line);
  }
}

}  // namespace coppervalve::trial
