#ifndef COPPERVALVE_ENTRY_READ_PLAN_H_
#define COPPERVALVE_ENTRY_READ_PLAN_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t, uint64_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How a reader follows one topic.
struct ReadPlanOptions {
  /// Pause after a read that returned records. Without it, each record of many
  /// writers would wake every reader.
  core::Duration pause{0};
  /// Size limit of one read. An answer must be transferred within the call's
  /// timeout, over the link of a small VM and at the store's rate that all
  /// routers share.
  size_t max_bytes = 128 * 1024;
  /// Only the newest record of each key is needed, so records missed while the
  /// store was unreachable are not read one by one.
  bool newest_only = true;
  core::Duration first_backoff{100'000};
  core::Duration longest_backoff{800'000};
};

/// @brief Options for configurations: each record is complete, and a large one
/// fills a read.
ReadPlanOptions ConfigurationPlan();
/// @brief Options for the table of upstreams.
ReadPlanOptions UpstreamPlan();
/// @brief Options for the heartbeats of the routers. A claim is granted when
/// its own record is read in log order, so every record is delivered.
ReadPlanOptions HeartbeatPlan();

/// @brief The next call of a reader.
struct ReadStep {
  enum class Call : uint8_t {
    kFirstNewestPage,  ///< newest records by key, from the start
    kRepeatPage,       ///< repeat the last requested page
    kRecords,          ///< records from next() on
  };
  Call call = Call::kFirstNewestPage;
  core::Duration delay{};
  /// Whether `delay` is a pause between reads, which may be cut short, and not
  /// a backoff.
  bool interruptible = false;
};

/// @brief Decides the next call of a reader of a keyed topic: records in log
/// order while the reader keeps up, the newest record of each key if it missed
/// more records than there are keys.
/// @complexity constant, as all of this class
class ReadPlan {
 public:
  explicit ReadPlan(ReadPlanOptions options) : m_options(options) {}

  /// @brief The last page of the newest records was read.
  /// @param keys in all pages
  /// @param next offset to continue from
  ReadStep OnNewest(size_t keys, uint64_t next, core::TimePoint now);
  /// @param next offset after the records of the batch
  /// @param end end of the log when the store answered
  ReadStep OnBatch(bool empty,
                   uint64_t next,
                   uint64_t end,
                   core::Duration pause,
                   core::TimePoint now);
  /// @brief The requested offset is no longer in the log.
  ReadStep OnOffsetExpired();
  /// @param jitter uniform in [0, 1)
  /// @param started_at start of the failed call
  ReadStep OnFailure(double jitter,
                     core::TimePoint started_at,
                     core::TimePoint now);
  /// @brief A page was read, and another one follows.
  void OnPage(core::TimePoint now);

  uint64_t next() const { return m_next; }
  const ReadPlanOptions& options() const { return m_options; }

 private:
  ReadStep RestartFromNewest();

  ReadPlanOptions m_options;
  uint64_t m_next = 0;
  size_t m_keys = 0;
  bool m_has_newest = false;
  uint32_t m_failures = 0;
  std::optional<core::TimePoint> m_last_answer;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_READ_PLAN_H_
