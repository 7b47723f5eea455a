#ifndef COPPERVALVE_LOGCLIENT_SNAPSHOT_POLICY_H_
#define COPPERVALVE_LOGCLIENT_SNAPSHOT_POLICY_H_

#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::logclient {

/// @brief Options that control when snapshots are appended.
struct SnapshotOptions {
  /// Distance between snapshots, in thousandths of the retained range.
  uint32_t spacing_permille = 250;
  /// Minimum distance, in offsets, while no log entry has expired yet.
  uint64_t min_spacing = 256;
  /// How long each router waits for the router ranked before it.
  core::Duration takeover_delay = std::chrono::seconds(5);
  /// Maximum size of a snapshot.
  core::Bytes max_bytes{4 << 20};
};

/// @brief Retained range of the log, as known to a router.
struct LogRange {
  core::LogOffset first_retained;
  core::LogOffset next;  ///< next offset to fold
};

/// @brief Decides when this router appends a snapshot. The retained part of the
/// log should always hold one, and normally only one router writes it.
class SnapshotPolicy {
 public:
  SnapshotPolicy(core::RouterId self, SnapshotOptions options);

  /// @brief Reports that a snapshot was folded or loaded.
  /// @param offset offset of the state in the snapshot
  void OnSnapshotSeen(core::LogOffset offset);

  /// @brief Whether this router should append a snapshot now. If no snapshot is
  /// seen, returns true again only after one takeover delay per live router.
  /// @param live ids of the live members, this router included
  /// @complexity linear in the number of members
  bool IsDue(core::TimePoint now,
             const LogRange& range,
             const std::vector<core::RouterId>& live);

  /// @brief Checks the size of a snapshot that is about to be appended.
  /// @return kSnapshotInvalid when it exceeds the maximum size
  core::Status CheckSize(core::Bytes size) const;

  /// @return offsets between snapshots for this range
  uint64_t Spacing(const LogRange& range) const;

 private:
  size_t RankOfSelf(const std::vector<core::RouterId>& live) const;

  core::RouterId m_self;
  SnapshotOptions m_options;
  core::LogOffset m_last_snapshot;
  std::optional<core::TimePoint> m_due_at;
};

}  // namespace coppervalve::logclient

#endif  // COPPERVALVE_LOGCLIENT_SNAPSHOT_POLICY_H_
