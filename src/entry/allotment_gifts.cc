// Direct transfers of tokens between routers, without the store.
#include <algorithm>  // min, max, sort
#include <utility>    // pair

#include "coppervalve/entry/allotment_book.h"

namespace coppervalve::entry {

namespace {

// Demand that a lender keeps tokens for, and demand that a borrower requests
// tokens for in addition to the current request, so that one round trip
// suffices for a while.
constexpr double kKeptSeconds = 2;
constexpr double kWantedSeconds = 1.5;

core::Tokens InSeconds(double per_second, double seconds) {
  return core::Tokens(static_cast<int64_t>(per_second * seconds));
}

}  // namespace

core::Tokens AllotmentBook::Give(const core::AccountId& account,
                                 core::Tokens least,
                                 core::Tokens wanted,
                                 core::TimePoint now) {
  const auto found = m_entries.find(account);
  if (found == m_entries.end() || !found->second.total) {
    return core::Tokens(0);
  }
  Entry& entry = found->second;
  const core::Tokens free = Limit(entry, now) - InUse(entry);
  const core::Tokens kept =
      InSeconds(entry.own_demand.PerSecond(now), kKeptSeconds);
  if (least <= core::Tokens(0) || free - kept < least) {
    return core::Tokens(0);
  }
  const core::Tokens given = std::min(std::max(wanted, least), free - kept);
  entry.spent += given;
  return given;
}

void AllotmentBook::Want(const core::AccountId& account, core::Tokens tokens) {
  m_entries[account].wanted += tokens;
}

void AllotmentBook::OnGift(const core::AccountId& account,
                           core::Tokens tokens) {
  m_entries[account].given += tokens;
}

bool AllotmentBook::ReserveGiven(const core::AccountId& account,
                                 core::Tokens tokens) {
  Entry& entry = m_entries[account];
  if (entry.given < tokens) {
    return false;
  }
  entry.given -= tokens;
  return true;
}

void AllotmentBook::SettleGiven(const core::AccountId& account,
                                core::Tokens reserved,
                                core::Tokens used) {
  m_entries[account].given += reserved - used;
}

std::vector<core::RouterId> AllotmentBook::Lenders(
    const core::AccountId& account,
    core::Tokens tokens) const {
  std::vector<std::pair<core::Tokens, core::RouterId>> rich;
  const auto found = m_entries.find(account);
  if (found == m_entries.end()) {
    return {};
  }
  for (const auto& [router, other] : found->second.others) {
    if (other.unspent >= tokens) {
      rich.emplace_back(other.unspent, router);
    }
  }
  std::sort(rich.begin(), rich.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<core::RouterId> lenders;
  lenders.reserve(rich.size());
  for (const auto& [unspent, router] : rich) {
    lenders.push_back(router);
  }
  return lenders;
}

core::Tokens AllotmentBook::WantedFor(const core::AccountId& account,
                                      core::Tokens tokens,
                                      core::TimePoint now) const {
  const auto found = m_entries.find(account);
  if (found == m_entries.end()) {
    return tokens;
  }
  const double demand = found->second.own_demand.PerSecond(now);
  return std::max(tokens, InSeconds(demand, kWantedSeconds));
}

}  // namespace coppervalve::entry
