#ifndef COPPERVALVE_ENTRY_UPSTREAM_H_
#define COPPERVALVE_ENTRY_UPSTREAM_H_

#include <cstdint>   // uint32_t, uint64_t, int64_t
#include <memory>    // shared_ptr
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/advertised_limit.h"
#include "coppervalve/entry/brittleness.h"
#include "coppervalve/entry/recent_hashes.h"
#include "coppervalve/entry/upstream_health.h"
#include "coppervalve/entry/upstream_senders.h"
#include "coppervalve/entry/warm_up.h"

namespace coppervalve::entry {

/// @brief An upstream as it announces itself. Most starts have an id of their
/// own; an upstream that restarts under its id announces a later
/// `start_number`.
struct UpstreamEntry {
  core::UpstreamId id;
  core::ServiceId service;
  std::string address;  ///< "ip:port"; may be reused by another upstream
  core::FailureDomainId failure_domain;
  core::UpstreamVersion version;
  uint32_t slots = 1;
  bool leaving = false;
  std::optional<int64_t>
      start_number;               ///< increases with each start under this id
  core::Duration warm_up_left{};  ///< as of the time the entry was written
};

/// Engines evict the least recently used prefix; after this time caching can't
/// be assumed.
constexpr core::Duration kPrefixCachedFor{60'000'000};

/// @brief One start of an upstream with the state that this router tracks for
/// it.
struct Upstream {
  UpstreamEntry entry;
  UpstreamHealth health;
  uint64_t order = 0;      ///< position among the upstreams of its service
  uint32_t load_key = 0;   ///< its id in load reports
  uint32_t in_flight = 0;  ///< requests of this router
  double in_prefill = 0;   ///< prefill cost of requests without a response yet
  /// Prompt prefixes that this router recently sent to it, so that they are
  /// probably still in its cache.
  RecentHashes prefixes{kPrefixCachedFor};
  WarmUpState warm_up;
  AdvertisedLimit limit;
  Brittleness brittleness;
  mutable SenderRank sender_rank;
  core::TimePoint listed_at{};  ///< when its first record was read
  /// When the entry expired while the store was disturbed; it may return soon.
  std::optional<core::TimePoint> expired_at;
  core::TimePoint paused_until{};  ///< end of the pause that it requested
};

using UpstreamRef = std::shared_ptr<Upstream>;

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_H_
