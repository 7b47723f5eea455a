// Direct transfers of tokens between routers, without the store.
#include <algorithm>  // min, max, sort
#include <utility>    // pair

#include "coppervalve/entry/allocation_ledger.h"

namespace coppervalve::entry {

namespace {

// A donor keeps the tokens that its own callers need in this time. A recipient
// requests at least its demand in this time, so that one round trip suffices
// for a while.
constexpr double kDonorReserveSeconds = 2;
constexpr double kTransferRequestSeconds = 1.5;

core::Tokens DemandWithin(double per_second, double seconds) {
  return core::Tokens(static_cast<int64_t>(per_second * seconds));
}

}  // namespace

core::Tokens AllocationLedger::TransferOut(const core::AccountId& account,
                                           core::Tokens least,
                                           core::Tokens wanted,
                                           core::TimePoint now) {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end() || !found->second.total) {
    return core::Tokens(0);
  }
  AccountState& state = found->second;
  const core::Tokens free = CurrentSpendLimit(state, now) - InUse(state);
  const core::Tokens own_reserve =
      DemandWithin(state.own_demand.PerSecond(now), kDonorReserveSeconds);
  if (least <= core::Tokens(0) || free - own_reserve < least) {
    return core::Tokens(0);
  }
  const core::Tokens given =
      std::min(std::max(wanted, least), free - own_reserve);
  state.spent += given;
  return given;
}

void AllocationLedger::RequestTokens(const core::AccountId& account,
                                     core::Tokens tokens) {
  m_accounts[account].requested += tokens;
}

void AllocationLedger::OnTransfer(const core::AccountId& account,
                                  core::Tokens tokens) {
  m_accounts[account].transferred_in += tokens;
}

bool AllocationLedger::ReserveTransferred(const core::AccountId& account,
                                          core::Tokens tokens) {
  AccountState& state = m_accounts[account];
  if (state.transferred_in < tokens) {
    return false;
  }
  state.transferred_in -= tokens;
  return true;
}

void AllocationLedger::SettleTransferred(const core::AccountId& account,
                                         core::Tokens reserved,
                                         core::Tokens used) {
  m_accounts[account].transferred_in += reserved - used;
}

std::vector<core::RouterId> AllocationLedger::Donors(
    const core::AccountId& account,
    core::Tokens tokens) const {
  std::vector<std::pair<core::Tokens, core::RouterId>> candidates;
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return {};
  }
  for (const auto& [router, other] : found->second.others) {
    if (other.unspent >= tokens) {
      candidates.emplace_back(other.unspent, router);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<core::RouterId> donors;
  donors.reserve(candidates.size());
  for (const auto& [unspent, router] : candidates) {
    donors.push_back(router);
  }
  return donors;
}

core::Tokens AllocationLedger::TransferRequestFor(
    const core::AccountId& account,
    core::Tokens tokens,
    core::TimePoint now) const {
  const auto found = m_accounts.find(account);
  if (found == m_accounts.end()) {
    return tokens;
  }
  const double demand = found->second.own_demand.PerSecond(now);
  return std::max(tokens, DemandWithin(demand, kTransferRequestSeconds));
}

}  // namespace coppervalve::entry
