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

/// @brief How many routers read the same records, and what the store can send.
struct ReadLoad {
  size_t readers = 1;
  /// Shared by all readers of the store; 0 = unknown.
  double store_bytes_per_second = 0;
};

/// @return time between two reads of a reader such that all readers together
/// use a part of the store's bandwidth; 0 if that part suffices without it
/// @param bytes size of one read
core::Duration ReadInterval(const ReadLoad& load, size_t bytes);

/// @brief The next call of a reader.
struct ReadStep {
  enum class Call : uint8_t {
    kFirstNewestPage,  ///< newest records by key, from the start
    kRepeatPage,       ///< repeat the last requested page
    kRecords,          ///< records from next() on
    kPeek,             ///< the end of the log, without records
  };
  Call call = Call::kFirstNewestPage;
  core::Duration delay{};
  /// Whether `delay` is a pause between reads, which may be cut short, and not
  /// a backoff.
  bool interruptible = false;
  /// Time to wait for the first byte, beyond the wait for new records.
  core::Duration patience{};
};

/// @brief Decides the next call of a reader of a keyed topic: records in log
/// order while the reader keeps up, the newest record of each key if it missed
/// more records than there are keys.
///
/// If the store cannot send a record to all readers at once, they poll the end
/// of the log, and read what is new at times that are spread over an interval.
/// A reader reads once in an interval, and only the newest records.
///
/// After a call without an answer it polls the end of the log until the store
/// answers, and reads only then.
/// @complexity constant, as all of this class
class ReadPlan {
 public:
  explicit ReadPlan(ReadPlanOptions options) : m_options(options) {}

  /// @brief Sets how reads of large records are spread.
  /// @param interval time between two of them; 0: they are not spread
  /// @param position part of the interval after which the first record after a
  /// quiet time is read; uniform in [0, 1)
  void SetSpread(core::Duration interval, double position);
  /// @brief Whether the store may need longer than the usual patience, as many
  /// routers read.
  void SetCrowded(bool crowded) { m_crowded = crowded; }

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
  /// @param end end of the log when the store answered a peek
  ReadStep OnPeek(uint64_t end, core::TimePoint now);
  /// @brief The requested offset is no longer in the log.
  ReadStep OnOffsetExpired(core::TimePoint now);
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
  ReadStep Make(ReadStep::Call call, core::Duration delay, bool interruptible);
  ReadStep ReadNext(core::Duration pause, bool interruptible);
  ReadStep RestartFromNewest(core::Duration delay);
  core::TimePoint NextLargeRead(core::TimePoint now) const;
  /// @return whether the store has answered nothing for long
  bool IsDisconnected(core::TimePoint now) const;
  bool NewestIsCheaper(uint64_t behind) const;
  bool spreads() const { return m_interval > core::Duration::zero(); }

  ReadPlanOptions m_options;
  uint64_t m_next = 0;
  size_t m_keys = 0;
  bool m_has_newest = false;
  uint32_t m_failures = 0;
  uint32_t m_late = 0;  ///< large reads without an answer, since the last one
  std::optional<core::TimePoint> m_last_answer;
  ReadStep::Call m_call = ReadStep::Call::kFirstNewestPage;  ///< the last one
  core::Duration m_interval{};
  double m_position = 0;
  bool m_crowded = false;
  std::optional<core::TimePoint> m_due;  ///< of the next large read
  std::optional<core::TimePoint> m_last_large;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_READ_PLAN_H_
