#ifndef COPPERVALVE_ROUTER_SETTINGS_H_
#define COPPERVALVE_ROUTER_SETTINGS_H_

#include <cstdint>     // uint32_t, uint64_t
#include <functional>  // function
#include <string>      // string

#include "coppervalve/budget/sizing.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/logclient/reader.h"
#include "coppervalve/logclient/snapshot_policy.h"
#include "coppervalve/logclient/writer.h"

namespace coppervalve::router {

/// @brief Settings of a router process.
struct RouterSettings {
  core::RouterId router;
  std::string caller_address;  ///< "ip:port" that callers connect to
  std::string peer_address;
  std::string operator_address;
  core::FailureDomainId failure_domain;
  std::string region;
  std::string version;  ///< program version, stored in RouterJoined

  logclient::ReaderOptions reader;
  logclient::WriterOptions writer;
  logclient::SnapshotOptions snapshots;
  /// A checkpoint every 256 offsets allows frequent comparison of snapshots.
  /// Each one serializes the whole state.
  ledger::FoldSettings fold{100'000, 256, 16};
  budget::SizingPolicy sizing = budget::DefaultSizing();
  /// A draining router that cannot return its holdings because the log is
  /// unavailable exits after this time. Its holdings are then quarantined.
  core::Duration drain_timeout = std::chrono::seconds(30);
};

/// @brief Sources of randomness and of the time of day.
struct RouterHooks {
  std::function<uint64_t()> random;  ///< 64 uniform bits per call
  /// UTC minute of the day at a time of the decision clock, 0..1439.
  std::function<uint32_t(core::TimePoint)> minute_of_day;
};

}  // namespace coppervalve::router

#endif  // COPPERVALVE_ROUTER_SETTINGS_H_
