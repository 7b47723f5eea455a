#ifndef COPPERVALVE_ENTRY_READ_PLAN_H_
#define COPPERVALVE_ENTRY_READ_PLAN_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t, uint64_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How one topic is followed.
struct ReadPlanOptions {
  /// After a read that brought records: many writers would otherwise wake every
  /// reader with each record.
  core::Duration pause{0};
  /// Of one read: an answer has to come through a small VM's link, and through
  /// the rate that all routers share, within what a call may take.
  size_t most_bytes = 128 * 1024;
  /// Only the newest record of each key matters, also of those that were missed
  /// while the store was away: they are not read one by one.
  bool only_newest_matters = true;
  core::Duration first_backoff{100'000};
  core::Duration longest_backoff{800'000};
};

/// @brief Of configurations: each is whole, and large ones fill a read.
ReadPlanOptions ConfigurationPlan();
/// @brief Of the table of upstreams.
ReadPlanOptions UpstreamPlan();
/// @brief Of the routers' beats: a claim is granted when its own record comes
/// back in order, so all records are handed on.
ReadPlanOptions BeatPlan();

/// @brief The next call of a reader.
struct ReadStep {
  enum class Call : uint8_t {
    kFirstPage,  ///< the newest of each key, from the first key
    kSamePage,   ///< the page that was asked for last, once more
    kRecords,    ///< what came since
  };
  Call call = Call::kFirstPage;
  core::Duration delay{};
  /// A pause between reads that may be cut short; not a backoff.
  bool pausing = false;
};

/// @brief Decides what a reader of a keyed topic asks for next: records in
/// order while it keeps up, the newest of each key where more was missed than
/// there are keys.
/// @complexity constant, as all of this class
class ReadPlan {
 public:
  explicit ReadPlan(ReadPlanOptions options) : m_options(options) {}

  /// @brief The last page of the newest was read.
  /// @param keys in all pages
  /// @param next offset to read on from
  ReadStep OnNewest(size_t keys, uint64_t next, core::TimePoint now);
  /// @param next offset behind the records of the batch
  /// @param end of the log when it was answered
  ReadStep OnBatch(bool empty,
                   uint64_t next,
                   uint64_t end,
                   core::Duration pause,
                   core::TimePoint now);
  /// @brief What was asked for is no longer kept.
  ReadStep OnGap();
  /// @param began when the call that failed was made
  /// @param draw uniform in [0, 1)
  ReadStep OnFailure(double draw, core::TimePoint began, core::TimePoint now);
  /// @brief A page came, and another follows.
  void OnPage(core::TimePoint now);

  uint64_t next() const { return m_next; }
  const ReadPlanOptions& options() const { return m_options; }

 private:
  ReadStep StartOver();

  ReadPlanOptions m_options;
  uint64_t m_next = 0;
  size_t m_keys = 0;
  bool m_has_newest = false;
  uint32_t m_failures = 0;
  std::optional<core::TimePoint> m_answered;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_READ_PLAN_H_
