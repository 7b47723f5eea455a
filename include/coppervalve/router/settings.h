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

/// @brief What a router process knows of itself from its settings.
struct RouterSettings {
  core::RouterId router;
  std::string caller_address;  ///< "ip:port" that callers connect to
  std::string peer_address;
  std::string operator_address;
  core::FailureDomainId failure_domain;
  std::string region;
  std::string version;  ///< of the program, for the record of joining

  logclient::ReaderOptions reader;
  logclient::WriterOptions writer;
  logclient::SnapshotOptions snapshots;
  /// Checkpoints every 256 offsets, so that snapshots can be compared often;
  /// each costs one serialization of the state.
  ledger::FoldSettings fold{100'000, 256, 16};
  budget::SizingPolicy sizing = budget::DefaultSizing();
  /// A router that cannot give its holdings back because the log is out ends
  /// after this; its holdings are then quarantined.
  core::Duration drain_patience = std::chrono::seconds(30);
};

/// @brief The only sources of chance and of the calendar.
struct RouterHooks {
  std::function<uint64_t()> random;  ///< 64 uniform bits a call
  /// UTC minute of the day at a time of the decision clock, 0..1439.
  std::function<uint32_t(core::TimePoint)> minute_of_day;
};

}  // namespace coppervalve::router

#endif  // COPPERVALVE_ROUTER_SETTINGS_H_
