#include "coppervalve/entry/upstream_senders.h"

#include <algorithm>  // clamp, max, min
#include <cmath>      // floor
#include <utility>    // exchange

namespace coppervalve::entry {

WarmUpShare DivideWarmUp(double bound,
                         uint32_t routers,
                         const WarmUpOptions& options) {
  WarmUpShare share;
  if (bound < 1 || routers == 0) {
    return share;
  }
  const double given = std::clamp(bound * options.allocated_share, 1.0, bound);
  const auto most = static_cast<uint32_t>(
      std::min(std::max(options.max_senders, 1.0), std::floor(given)));
  share.senders = std::min(routers, most);
  share.sends = static_cast<uint32_t>(given / share.senders);
  return share;
}

uint32_t UpstreamSenders::Routers() const {
  return m_options.all_live ? m_members.LiveCount() : m_members.ActiveCount();
}

void UpstreamSenders::Advance(core::TimePoint now) {
  if (now - m_half_started_at >= m_options.peak_lifetime / 2) {
    m_half_started_at = now;
    m_peak_before = std::exchange(m_peak_now, 1);
  }
  m_peak_now = std::max(m_peak_now, Routers());
  const bool sender = m_options.all_live || m_members.SelfActive();
  if (!sender) {
    m_sender_since.reset();
  } else if (!m_sender_since) {
    m_sender_since = now;
  }
}

// The settle time is also longer than the second that the bound covers, so
// requests of this router's previous incarnation, which it has no record of, no
// longer count.
bool UpstreamSenders::Settled(core::TimePoint now) const {
  return m_sender_since && now - *m_sender_since >= m_options.settle_time;
}

uint32_t UpstreamSenders::ShareOf(const core::UpstreamId& upstream,
                                  SenderRank& rank,
                                  double bound,
                                  core::TimePoint now) const {
  if (!Settled(now)) {
    return 0;
  }
  const WarmUpShare share =
      DivideWarmUp(bound, std::max(m_peak_now, m_peak_before), m_options);
  return RankOf(upstream, rank) < share.senders ? share.sends : 0;
}

SenderPosition UpstreamSenders::PositionOf(const core::UpstreamId& upstream,
                                           SenderRank& rank,
                                           core::TimePoint now) const {
  return {std::max(m_peak_now, m_peak_before), RankOf(upstream, rank),
          Settled(now)};
}

// Cached, because the rank is needed for each upstream and request but changes
// only with the set of routers.
uint32_t UpstreamSenders::RankOf(const core::UpstreamId& upstream,
                                 SenderRank& rank) const {
  if (rank.version != m_members.ActiveVersion()) {
    rank = {m_members.ActiveVersion(),
            m_members.ActiveRankedAbove(upstream.value())};
  }
  return rank.above;
}

}  // namespace coppervalve::entry
