#ifndef COPPERVALVE_ENTRY_TOPIC_AGE_H_
#define COPPERVALVE_ENTRY_TOPIC_AGE_H_

#include <cstdint>   // uint64_t
#include <optional>  // optional

#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How far a read of a topic got.
struct ReadProgress {
  uint64_t next = 0;  ///< all records before it have been read
  uint64_t end = 0;   ///< of the log, as stated by the store
  /// A time before the store stated `end`, such as the start of the call.
  core::TimePoint called_at{};
};

/// @brief The age of what this router knows of a topic: every record written
/// before that has been read.
/// @complexity constant, as all of this class
class TopicAge {
 public:
  void OnRead(const ReadProgress& progress);
  /// @return the maximum before the first complete read
  core::Duration At(core::TimePoint now) const;

 private:
  /// A reader of a busy topic rarely reaches the current end of the log, but
  /// soon passes an earlier one.
  std::optional<ReadProgress> m_earlier_end;
  std::optional<core::TimePoint> m_complete_until;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_TOPIC_AGE_H_
