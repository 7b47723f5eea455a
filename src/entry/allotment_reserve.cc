// The reserve: the part of a claim that is not spent before a given time. See
// ReserveUntouched() for its use.
#include <algorithm>  // max, min
#include <cmath>      // sqrt

#include "coppervalve/entry/allotment_book.h"

namespace coppervalve::entry {

// The limit of spending at this time. Until a claim is acknowledged, the
// previous one may be the last in the log, and a successor would rely on it. So
// the lowest limit of all claims that may be the last applies, each until its
// own time.
core::Tokens AllotmentBook::Limit(const Entry& entry, core::TimePoint now) {
  core::Tokens limit = entry.ceiling;
  for (const Early& early : entry.early) {
    if (now < early.not_before) {
      limit = std::min(limit, early.limit);
    }
  }
  return limit;
}

void AllotmentBook::OnWritten(uint64_t sequence, core::TimePoint now) {
  const core::Duration longest = m_context.period + m_options.outage_counts;
  if (m_last_written && now - *m_last_written > longest) {
    m_past.OnOutage(1.0 / (m_context.routers + m_context.standbys));
  }
  m_last_written = now;
  for (auto& [account, entry] : m_entries) {
    // The newest acknowledged claim stays: it applies until its time.
    while (entry.early.size() > 1 && entry.early[1].sequence <= sequence) {
      entry.early.pop_front();
    }
  }
}

std::optional<core::TimePoint> AllotmentBook::CoveredAt(
    const core::AccountId& account,
    core::Tokens tokens,
    core::TimePoint now) const {
  const auto found = m_entries.find(account);
  if (found == m_entries.end() ||
      InUse(found->second) + tokens > found->second.ceiling) {
    return std::nullopt;
  }
  core::TimePoint at = now;
  for (const Early& early : found->second.early) {
    if (InUse(found->second) + tokens > early.limit) {
      at = std::max(at, early.not_before);
    }
  }
  return at;
}

// The limit until the next claims are acknowledged or, if none are, until the
// reserve may be spent.
core::Tokens AllotmentBook::NextEarly(const Entry& entry,
                                      core::Tokens next,
                                      core::TimePoint now) const {
  const double seconds =
      std::chrono::duration<double>(m_options.held_back).count();
  const double expected = ExpectedIn(entry, seconds, now);
  const auto largest = static_cast<double>(entry.largest.value());
  core::Tokens ahead(static_cast<int64_t>(
      expected + m_options.held_back_spread * std::sqrt(expected * largest)));
  if (Learning(now)) {
    const double part =
        seconds / std::chrono::duration<double>(m_options.ahead).count();
    const auto free = static_cast<double>((next - InUse(entry)).value());
    ahead = std::max(ahead, core::Tokens(static_cast<int64_t>(free * part)));
  }
  return std::min(next, InUse(entry) + std::max(ahead, entry.wanted));
}

void AllotmentBook::StateReserve(Entry& entry,
                                 core::Tokens next,
                                 const v1::RouterBeat& beat,
                                 v1::AccountClaim& claim,
                                 core::TimePoint now) const {
  core::Tokens early = next;
  if (beat.not_before() != 0) {
    early = NextEarly(entry, next, now);
  }
  claim.set_reserve((next - early).value());
  const core::TimePoint not_before{core::Duration(beat.not_before())};
  entry.early.push_back({beat.sequence(), early, not_before});
  entry.wanted = core::Tokens(0);
}

}  // namespace coppervalve::entry
