#ifndef COPPERVALVE_LOGCLIENT_SNAPSHOT_POLICY_H_
#define COPPERVALVE_LOGCLIENT_SNAPSHOT_POLICY_H_

#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::logclient {

/// @brief When snapshots are appended.
struct SnapshotOptions {
  /// Distance between snapshots, in thousandths of the retained range.
  uint32_t spacing_permille = 250;
  /// Least distance while the log has dropped nothing yet.
  uint64_t min_spacing = 256;
  /// How long the next router in rank waits for the one before it.
  core::Duration takeover_delay = std::chrono::seconds(5);
  /// Largest snapshot that is appended.
  core::Bytes max_bytes{4 << 20};
};

/// @brief Where the log stands, as a router sees it.
struct LogRange {
  core::LogOffset first_retained;
  core::LogOffset next;  ///< next offset to fold
};

/// @brief Chooses when this router appends a snapshot, so that the retained
/// part of the log always holds one and as a rule one router writes it.
class SnapshotPolicy {
 public:
  SnapshotPolicy(core::RouterId self, SnapshotOptions options);

  /// @brief A snapshot was folded or loaded.
  /// @param offset the state's offset in it
  void OnSnapshotSeen(core::LogOffset offset);

  /// @brief Whether this router should append a snapshot now. Says so again
  /// only after a full round of takeover delays, unless one is seen.
  /// @param live ids of the live members, this router included
  /// @complexity linear in the number of members
  bool IsDue(core::TimePoint now,
             const LogRange& range,
             const std::vector<core::RouterId>& live);

  /// @brief Checks the size of a snapshot that is about to be appended.
  /// @return kSnapshotInvalid when it is larger than the bound
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
