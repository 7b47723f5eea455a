#include "coppervalve/trial/audit.h"

#include <algorithm>  // max
#include <utility>    // move
#include <variant>    // get_if

#include "coppervalve/budget/holding_manager.h"

namespace coppervalve::trial {

namespace {

/// The default of config_freshness_ms.
constexpr core::Duration kFreshnessBound = std::chrono::seconds(8);

ledger::FoldSettings AuditSettings() {
  return router::RouterSettings{}.fold;
}

std::string ErrorOf(const ClientAttempt& client_attempt) {
  return client_attempt.error.has_value()
             ? core::ErrorCode(*client_attempt.error)
             : "none";
}

}  // namespace

Audit::Audit(Fleet& fleet)
    : m_fleet(fleet),
      m_fold(AuditSettings()),
      m_versions(fleet.size()),
      m_incarnations(fleet.size()) {}

std::vector<Violation> Audit::Check() {
  std::vector<Violation> found;
  ApplyNewEntries(found);
  CheckSpend(found);
  CheckHoldings(found);
  CheckClientAttempts(found);
  CheckVersions(found);
  for (Violation& violation : std::exchange(m_stale_dispatches, {})) {
    found.push_back(std::move(violation));
  }
  CheckOrders(found);
  return found;
}

void Audit::OnDispatch(size_t node) {
  const uint64_t version =
      m_fleet.node(node).core().Status(m_fleet.now()).config_version();
  const uint64_t next = version + 1;
  if (next >= m_in_force_since.size() ||
      m_fleet.now() - m_in_force_since[next] <= kFreshnessBound) {
    return;
  }
  m_stale_dispatches.push_back(
      {"I8", RouterName(node).value() + " worked under version " +
                 std::to_string(version) + " after it was replaced"});
}

void Audit::ApplyNewEntries(std::vector<Violation>& found) {
  while (m_fold.next_offset() < m_fleet.log().end()) {
    const v1::ReadReply reply = m_fleet.log().Read(m_fold.next_offset());
    for (const v1::LoggedEntry& logged : reply.entries()) {
      v1::Entry entry;
      entry.ParseFromString(logged.entry());
      const auto result = m_fold.Apply(core::LogOffset(logged.offset()), entry);
      if (!core::IsOk(result)) {
        found.push_back({"I1", core::ToString(core::Failure(result))});
        return;
      }
      m_in_force_since.resize(m_fold.config_version().value() + 1,
                              m_fleet.now());
      for (const ledger::Effect& effect : core::Value(result)) {
        const auto* billed = std::get_if<ledger::Billed>(&effect);
        if (billed != nullptr && ++m_bills[billed->key_hash] > 1) {
          found.push_back(
              {"I2", "a key was billed twice in " + billed->budget.value()});
        }
      }
    }
  }
}

void Audit::CheckSpend(std::vector<Violation>& found) {
  const auto& executions = m_fleet.executions();
  for (; m_executions_seen < executions.size(); ++m_executions_seen) {
    const Execution& run = executions[m_executions_seen];
    const ClientRequest& client_request =
        m_fleet.client_requests()[run.client_request];
    m_used[client_request.budget] += run.used.value();
    ++m_runs_by_request[run.client_request];
    ++m_runs_by_attempt[run.client_attempt];
    if (client_request.non_idempotent &&
        m_runs_by_request[run.client_request] > 1) {
      found.push_back(
          {"I5", "wish " + std::to_string(run.client_request) + " ran twice"});
    }
  }
  for (const auto& [id, used] : m_used) {
    const ledger::Budget* budget = m_fold.FindBudget(id);
    const int64_t paid_in = budget == nullptr ? 0 : budget->paid_in.value();
    if (used > paid_in) {
      found.push_back({"I1", id.value() + " used " + std::to_string(used) +
                                 " of " + std::to_string(paid_in)});
    }
  }
}

void Audit::CheckHoldings(std::vector<Violation>& found) {
  for (size_t i = 0; i < m_fleet.size(); ++i) {
    Node& node = m_fleet.node(i);
    if (!node.alive()) {
      continue;
    }
    const core::Status status = node.core().holding_manager().CheckInvariants();
    if (!core::IsOk(status)) {
      found.push_back({"I1", core::ToString(core::Failure(status))});
    }
  }
}

void Audit::CheckClientAttempts(std::vector<Violation>& found) {
  const auto& client_attempts = m_fleet.client_attempts();
  for (size_t i = 0; i < client_attempts.size(); ++i) {
    const ClientAttempt& client_attempt = client_attempts[i];
    const bool refused =
        client_attempt.state == ClientAttempt::State::kRefused &&
        client_attempt.run_state == core::RunState::kNotRun;
    if (refused && m_runs_by_attempt.contains(i)) {
      found.push_back(
          {"I4", "ticket " + std::to_string(i) +
                     " ran but was refused: " + Describe(client_attempt)});
    }
    if (client_attempt.state == ClientAttempt::State::kComplete &&
        client_attempt.answered_request != client_attempt.client_request) {
      found.push_back({"I3", "ticket " + std::to_string(i) +
                                 " got the answer of another request"});
    }
  }
}

void Audit::CheckVersions(std::vector<Violation>& found) {
  for (size_t i = 0; i < m_fleet.size(); ++i) {
    Node& node = m_fleet.node(i);
    if (!node.alive()) {
      m_versions[i] = 0;
      continue;
    }
    if (node.core().incarnation() != m_incarnations[i]) {
      m_incarnations[i] = node.core().incarnation();
      m_versions[i] = 0;
    }
    const uint64_t version = node.core().Status(m_fleet.now()).config_version();
    if (version < m_versions[i]) {
      found.push_back({"I8", RouterName(i).value() + " went back to version " +
                                 std::to_string(version)});
    }
    m_versions[i] = version;
  }
}

void Audit::CheckOrders(std::vector<Violation>& found) {
  const auto& applied = m_fleet.engine_orders().applied();
  for (; m_orders_seen < applied.size(); ++m_orders_seen) {
    const AppliedOrder& order = applied[m_orders_seen];
    core::FencingNumber& newest = m_newest_order[order.upstream];
    if (order.fencing < newest) {
      found.push_back({"I9", order.upstream.value() + " took order " +
                                 std::to_string(order.fencing.value()) +
                                 " after order " +
                                 std::to_string(newest.value())});
    }
    newest = std::max(newest, order.fencing);
  }
}

std::string Audit::Describe(const ClientAttempt& client_attempt) const {
  const ClientRequest& client_request =
      m_fleet.client_requests()[client_attempt.client_request];
  return "wish " + std::to_string(client_attempt.client_request) + " at " +
         RouterName(client_attempt.node).value() + " key " +
         client_request.key +
         (client_request.non_idempotent ? " non-idempotent" : "") + " error " +
         ErrorOf(client_attempt);
}

std::vector<Violation> Audit::CheckFolds() {
  std::vector<Violation> found;
  ApplyNewEntries(found);
  const core::Status status = m_fold.CheckConservation();
  if (!core::IsOk(status)) {
    found.push_back({"I1", core::ToString(core::Failure(status))});
  }
  const uint64_t digest = m_fold.Digest();
  for (size_t i = 0; i < m_fleet.size(); ++i) {
    Node& node = m_fleet.node(i);
    if (!node.alive() ||
        node.core().fold().next_offset() != m_fold.next_offset()) {
      continue;
    }
    if (node.core().fold().Digest() != digest) {
      found.push_back({"I1", RouterName(i).value() + " has a different state"});
    }
  }
  return found;
}

TokenCount Audit::Count() const {
  TokenCount count;
  for (const ledger::Budget* budget : m_fold.Budgets()) {
    count.paid_in += budget->paid_in.value();
    count.billed += budget->billed.value();
    count.free += budget->free.value();
    count.held += (budget->held - budget->quarantined).value();
  }
  for (const auto& [id, used] : m_used) {
    count.used += used;
  }
  count.stranded = count.paid_in - count.used - count.free - count.held;
  return count;
}

// Applies the configured gate reserve: a share of the balance is for GATE work
// only.
bool Audit::HasTokensFor(const ClientRequest& client_request,
                         core::Tokens others) const {
  const ledger::Budget* budget = m_fold.FindBudget(client_request.budget);
  if (budget == nullptr) {
    return false;
  }
  const auto used = m_used.find(client_request.budget);
  const int64_t spent = used == m_used.end() ? 0 : used->second;
  ledger::Budget counter = *budget;
  counter.free = budget->paid_in - core::Tokens(spent) - others;
  return counter.Available(client_request.admission_class) >=
         client_request.Cost();
}

}  // namespace coppervalve::trial
