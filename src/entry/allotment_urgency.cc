// The last tokens of an account are left to its more urgent requests.
#include <algorithm>  // max

#include "coppervalve/entry/allotment_book.h"

namespace coppervalve::entry {

namespace {

// Beyond the time between claims, until this many more have failed to get
// through: then nothing comes on top of what this router holds.
constexpr core::Duration kClaimsOverdue{900'000};

}  // namespace

bool AllotmentBook::ClaimsGetThrough(core::TimePoint now) const {
  return m_last_written &&
         now - *m_last_written < m_context.period + kClaimsOverdue;
}

// What this router can still spend on an account: what it holds, and its part
// of what is free while it can claim that.
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

// After a loss of all power what is left of an account runs out while requests
// of all ranks go on coming. Admitted as they come, large requests that may
// wait take what many small urgent ones need: callers at a gate are refused for
// the sake of drafts. So a request passes only if the more urgent ones of some
// seconds still find their tokens after it. Not so in a cut: there more can be
// claimed when it ends, and what was kept would be left over.
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
