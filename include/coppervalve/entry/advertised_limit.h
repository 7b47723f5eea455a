#ifndef COPPERVALVE_ENTRY_ADVERTISED_LIMIT_H_
#define COPPERVALVE_ENTRY_ADVERTISED_LIMIT_H_

#include <cstdint>   // uint32_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief Constants of how the rate limit of an upstream is shared and expires.
struct LimitOptions {
  bool enforce = true;  ///< false: limits are ignored
  /// Part of a limit that is allocated to the senders. The rest is a margin:
  /// routers with different member lists select different senders, so more
  /// routers than planned may send.
  double allocated_share = 0.8;
  /// Maximum number of senders. Large, because with few senders most routers
  /// would have no share of a large limit.
  double max_senders = 1'000;
  /// Senders in addition to one for each request per second.
  double spare_senders = 2;
  /// How long a limit counts as recent.
  core::Duration fresh_for{10'000'000};
  /// Without recent information the routers probe in turn, one per interval.
  core::Duration probe_interval{4'000'000};
};

/// @brief The share of a limit that each sender has.
struct LimitShare {
  uint32_t senders = 0;   ///< routers that have this share
  double per_second = 0;  ///< rate of each of them
};

/// @brief Divides the requests per second that one upstream accepts.
LimitShare DivideLimit(double per_second,
                       uint32_t routers,
                       const LimitOptions& options);

/// @brief This router's position among those that may send to an upstream.
struct SenderPosition {
  uint32_t routers = 1;
  uint32_t rank = 0;     ///< number of routers ahead of this one
  bool may_send = true;  ///< whether this router may be a sender
};

/// @brief The rate limit that an upstream last sent, which applies to all
/// routers together, and when this router last sent a request there.
///
/// A limit holds until the upstream responds without one. Routers that send it
/// no requests learn of a change from the reports of other routers, or by a
/// probe when it is their turn.
class AdvertisedLimit {
 public:
  /// @brief The upstream responded to this router.
  /// @param per_second none if it sent no limit
  /// @param sent_at when the request was sent
  /// @return whether a limit began, changed or ended
  bool OnAnswer(std::optional<double> per_second,
                core::TimePoint sent_at,
                core::TimePoint now);
  /// @brief Another router reported the upstream's response.
  /// @param received_at when the upstream responded
  /// @return whether a limit began, changed or ended
  bool OnPeerReport(std::optional<double> per_second,
                    core::TimePoint received_at);
  /// @brief The upstream sent a limit that can't be parsed; the last known one
  /// stays in force.
  /// @return whether it is the first one since a valid limit
  bool OnUnreadable();
  void OnSend(core::TimePoint now) { m_last_send = now; }

  /// @return requests per second from all routers; none without a limit
  std::optional<double> per_second() const { return m_per_second; }
  /// @return the earliest time of this router's next request
  core::TimePoint NextSend(const SenderPosition& position,
                           const LimitOptions& options) const;
  /// @return when the upstream sent the current limit, if it sent it to this
  /// router itself
  std::optional<core::TimePoint> directly_received_at() const {
    return m_received_directly ? std::optional(m_received_at) : std::nullopt;
  }

 private:
  bool Set(std::optional<double> per_second);

  std::optional<double> m_per_second;
  /// When the upstream sent the limit to any router.
  core::TimePoint m_received_at{};
  bool m_received_directly = false;  ///< not from another router's report
  bool m_unreadable = false;
  core::TimePoint m_last_send{};
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ADVERTISED_LIMIT_H_
