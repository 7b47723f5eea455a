// Keeps the last tokens of an account for its more urgent requests.
#include <algorithm>  // max

#include "coppervalve/entry/allotment_book.h"

namespace coppervalve::entry {

namespace {

// If claims are overdue by this time beyond the claim period, this router
// cannot count on tokens beyond its ceiling.
constexpr core::Duration kClaimsOverdue{900'000};

}  // namespace

bool AllotmentBook::ClaimsGetThrough(core::TimePoint now) const {
  return m_last_written &&
         now - *m_last_written < m_context.period + kClaimsOverdue;
}

// Tokens that this router can still spend on an account: its unused ceiling
// and, while claims are acknowledged, its share of the unclaimed tokens.
core::Tokens AllotmentBook::OwnRest(const Entry& entry,
                                    core::TimePoint now) const {
  core::Tokens rest = entry.ceiling - InUse(entry);
  if (ClaimsGetThrough(now)) {
    const auto free =
        static_cast<double>(std::max(Free(entry), core::Tokens(0)).value());
    rest +=
        core::Tokens(static_cast<int64_t>(free * ShareOverAllStarts(entry)));
  }
  return rest;
}

// After a power failure of all VMs, the remaining tokens run out while requests
// of all ranks arrive. Without this check, large requests that can wait use up
// the tokens of many small urgent ones. A request passes only if the expected
// demand of more urgent requests within `urgent_ahead` still fits afterwards.
// This does not apply during a partition: more tokens can be claimed when it
// ends, so the kept ones would remain unused.
bool AllotmentBook::LeavesEnough(const Entry& entry,
                                 core::Tokens tokens,
                                 uint8_t rank,
                                 core::TimePoint now) const {
  if (!entry.must_last) {
    return true;
  }
  const double seconds =
      std::chrono::duration<double>(m_options.urgent_ahead).count();
  const double urgent =
      entry.ranked.SmallAndMoreUrgent(rank, m_options.urgent_part, now) *
      seconds;
  if (urgent <= 0) {
    return true;
  }
  const core::Tokens left = OwnRest(entry, now) - tokens;
  return static_cast<double>(left.value()) >= urgent;
}

}  // namespace coppervalve::entry
