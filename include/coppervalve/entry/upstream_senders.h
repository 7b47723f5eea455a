#ifndef COPPERVALVE_ENTRY_UPSTREAM_SENDERS_H_
#define COPPERVALVE_ENTRY_UPSTREAM_SENDERS_H_

#include <cstdint>   // uint32_t, uint64_t
#include <optional>  // optional

#include "coppervalve/core/units.h"
#include "coppervalve/entry/advertised_limit.h"
#include "coppervalve/entry/configuration.h"
#include "coppervalve/entry/member_list.h"

namespace coppervalve::entry {

/// @brief What a cold upstream can handle beyond the rate that it states.
struct WarmUpBounds {
  double overage = 1;  ///< factor on the rate
  double slack = 0;    ///< additional requests in any second
};

/// @brief Constants of how the bound is divided.
struct WarmUpOptions {
  bool enforce = true;  ///< false: cold upstreams are treated like warm ones
  /// Whether every live router has an equal share, not only those that callers
  /// are directed to.
  bool all_live = false;
  /// Part of the bound that is allocated. The rest is a margin: routers with
  /// different member lists select different senders, so more routers than
  /// planned may send.
  double allocated_share = 0.5;
  double max_senders = 6;
  /// How long a new sender waits, until the member lists of the other routers
  /// include it.
  core::Duration settle_time{2'000'000};
  /// How long a number of routers remains in effect after it decreased, as some
  /// routers still assume it.
  core::Duration peak_lifetime{15'000'000};
};

/// @brief The share of a cold upstream's bound that each sender has.
struct WarmUpShare {
  uint32_t senders = 0;  ///< routers that have this share
  uint32_t sends = 0;    ///< requests of each of them in any second
};

/// @brief Divides the bound of one cold upstream.
/// @param bound requests in any second, from all routers together
WarmUpShare DivideWarmUp(double bound,
                         uint32_t routers,
                         const WarmUpOptions& options);

/// @brief Number of routers ahead of this one as senders of an upstream, in a
/// given version of the set of routers.
struct SenderRank {
  uint64_t version = 0;
  uint32_t above = 0;
};

/// @brief Determines which routers may send to an upstream of limited capacity,
/// according to this router's member list.
///
/// No message reports to a router what others send. So a part of the bound is
/// divided among few routers, which all routers determine alike as far as their
/// member lists agree. The lists differ for seconds around a change, and for as
/// long as a router is disconnected: therefore a new sender waits, a decreased
/// number of routers takes effect later, and the unallocated part of the bound
/// covers the remaining differences.
class UpstreamSenders {
 public:
  UpstreamSenders(const MemberList& members, WarmUpOptions options)
      : m_members(members), m_options(options) {}

  /// @brief Updates from the member list. To be called every few hundred
  /// milliseconds.
  void Advance(core::TimePoint now);
  /// @return number of requests that this router may send to a cold upstream in
  /// any second; 0 if it is not one of its senders
  uint32_t ShareOf(const core::UpstreamId& upstream,
                   SenderRank& rank,
                   double bound,
                   core::TimePoint now) const;
  /// @return this router's position among the senders of an upstream
  SenderPosition PositionOf(const core::UpstreamId& upstream,
                            SenderRank& rank,
                            core::TimePoint now) const;
  const WarmUpOptions& options() const { return m_options; }

 private:
  uint32_t Routers() const;
  bool Settled(core::TimePoint now) const;
  uint32_t RankOf(const core::UpstreamId& upstream, SenderRank& rank) const;

  const MemberList& m_members;
  WarmUpOptions m_options;
  std::optional<core::TimePoint> m_sender_since;
  /// Largest numbers of routers in the current and the previous half of the
  /// remembered time.
  uint32_t m_peak_now = 1;
  uint32_t m_peak_before = 1;
  core::TimePoint m_half_started_at{};
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_SENDERS_H_
