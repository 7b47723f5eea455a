#include "coppervalve/entry/advertised_limit.h"

#include <algorithm>  // clamp, max, min
#include <chrono>     // duration
#include <cmath>      // floor
#include <utility>    // exchange

namespace coppervalve::entry {

namespace {

// Lower rates, at which a request would be due after more than a day, count as
// zero.
constexpr double kMinPerSecond = 1e-5;

core::Duration IntervalOf(double per_second) {
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(1 / per_second));
}

}  // namespace

LimitShare DivideLimit(double per_second,
                       uint32_t routers,
                       const LimitOptions& options) {
  const double wanted = std::floor(per_second) + options.spare_senders;
  const double most =
      std::min(static_cast<double>(routers), options.max_senders);
  LimitShare share;
  share.senders =
      static_cast<uint32_t>(std::clamp(wanted, 1.0, std::max(most, 1.0)));
  share.per_second = per_second * options.allocated_share / share.senders;
  return share;
}

// A late response to a request sent before the limit was received may lack it;
// that does not end the limit.
bool AdvertisedLimit::OnAnswer(std::optional<double> per_second,
                               core::TimePoint sent_at,
                               core::TimePoint now) {
  if (!per_second && (!m_per_second || sent_at <= m_received_at)) {
    return false;
  }
  m_received_at = now;
  m_received_directly = true;
  m_unreadable = false;
  return Set(per_second);
}

bool AdvertisedLimit::OnPeerReport(std::optional<double> per_second,
                                   core::TimePoint received_at) {
  if (received_at <= m_received_at) {
    return false;
  }
  m_received_at = received_at;
  m_received_directly = false;
  return Set(per_second);
}

bool AdvertisedLimit::OnUnreadable() {
  return !std::exchange(m_unreadable, true);
}

bool AdvertisedLimit::Set(std::optional<double> per_second) {
  return std::exchange(m_per_second, per_second) != per_second;
}

// Senders space their requests and accumulate no credit: with limits below one
// request per second, even one saved request at each router would exceed the
// limit.
core::TimePoint AdvertisedLimit::NextSend(const SenderPosition& position,
                                          const LimitOptions& options) const {
  if (!m_per_second || !options.enforce) {
    return m_last_send;
  }
  const LimitShare share =
      DivideLimit(*m_per_second, position.routers, options);
  // There may be no recent response because no sender has callers or the
  // senders are unreachable. Probing in turn keeps routers from probing at
  // once.
  core::TimePoint next =
      std::max(m_last_send + options.probe_interval * position.routers,
               m_received_at + options.fresh_for +
                   options.probe_interval * (position.rank + 1));
  const bool sender = position.may_send && position.rank < share.senders;
  if (sender && share.per_second > kMinPerSecond) {
    next = std::min(next, m_last_send + IntervalOf(share.per_second));
  }
  return next;
}

}  // namespace coppervalve::entry
