#ifndef COPPERVALVE_LOGCLIENT_WRITER_H_
#define COPPERVALVE_LOGCLIENT_WRITER_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <deque>     // deque
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/logclient/backoff.h"
#include "coppervalve/logclient/token_bucket.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::logclient {

/// @brief How soon a record must be appended.
enum class Urgency : uint8_t {
  kRoutine,  ///< sent with the next batch
  kUrgent,   ///< sent when the previous append ends: claims, grants
};

/// @brief Options of a Writer.
struct WriterOptions {
  core::Duration batch_interval = std::chrono::milliseconds(100);
  core::Duration keep_alive_interval = std::chrono::seconds(3);
  /// The log counts as unavailable when an append has no outcome for this long.
  core::Duration outage_after = std::chrono::seconds(2);
  double appends_per_second = 10;
  double append_burst = 20;
  size_t max_backlog_records = 20'000;
  core::Bytes max_backlog_bytes{8 << 20};
  /// Limits of one entry; a single record may exceed the byte limit.
  size_t max_entry_records = 1'000;
  core::Bytes max_entry_bytes{256 << 10};
  BackoffOptions backoff;
};

/// @brief Log writer of one incarnation, without I/O: groups records into
/// entries with contiguous sequences and retries an entry until its outcome is
/// known.
///
/// The owner calls NextAppend() on each tick and after each event, sends the
/// returned entry and calls exactly one of OnAppended() or OnFailed() for it
/// (the sender enforces the timeout).
class Writer {
 public:
  /// @param writer router id, or "operator:<name>"
  /// @param jitter see Backoff
  Writer(std::string writer,
         core::Incarnation incarnation,
         WriterOptions options,
         JitterHook jitter);

  /// @brief Appends a record to the queue.
  /// @return kBacklogFull when a limit would be exceeded: the record is not
  /// queued, and records queued earlier are kept
  /// @complexity linear in the size of the record
  core::Status Add(v1::Record record, Urgency urgency);

  /// @brief Returns the append to send now, if any.
  /// @param seen_offset next offset that this router will read
  /// @return a serialized v1::Entry; a retry is byte for byte identical
  /// @complexity linear in the size of the entry
  std::optional<std::string> NextAppend(core::TimePoint now,
                                        core::LogOffset seen_offset);

  /// @brief Reports that the log acknowledged the append in flight. Ignored
  /// when no append is in flight.
  void OnAppended(core::TimePoint now, core::LogOffset offset);

  /// @brief Reports that the append in flight failed; it may have taken effect.
  void OnFailed(core::TimePoint now);

  /// @brief Reports that an entry of this incarnation was read from the log.
  /// This confirms an outstanding append whose reply was lost. The next append
  /// waits until the one in flight is reported.
  void OnSequenceFolded(core::Sequence sequence);

  /// @return records not known to be in the log, including those of the
  /// outstanding entry
  size_t backlog_records() const;
  /// @return serialized size of these records
  core::Bytes backlog_bytes() const;
  /// @return whether an entry was sent whose outcome is unknown
  bool has_outstanding() const { return m_outstanding.has_value(); }
  /// @return time since the outstanding entry was first sent; zero if none is
  core::Duration OutstandingAge(core::TimePoint now) const;
  /// @return whether an append has had no outcome for `outage_after`
  bool LogIsUnavailable(core::TimePoint now) const;
  /// @return highest sequence assigned so far; 0 before the first entry
  core::Sequence last_sequence() const { return m_last_sequence; }
  /// @return highest sequence known to be in the log
  core::Sequence confirmed_sequence() const { return m_confirmed_sequence; }
  /// @return offset of the last acknowledged append, if any
  std::optional<core::LogOffset> last_offset() const { return m_last_offset; }
  /// @return entries known to be in the log
  uint64_t appended_entries() const { return m_confirmed_sequence.value(); }
  /// @return number of sends, including retries
  uint64_t sends() const { return m_sends; }
  /// @return bytes sent, including retries
  core::Bytes bytes_sent() const { return m_bytes_sent; }

 private:
  struct QueuedRecord {
    v1::Record record;
    core::Bytes size;
    Urgency urgency = Urgency::kRoutine;
  };
  struct Outstanding {
    core::Sequence sequence;
    std::string bytes;
    size_t records = 0;
    core::Bytes record_bytes;
    core::TimePoint first_sent;
  };

  bool IsDue(core::TimePoint now) const;
  Outstanding BuildEntry(core::TimePoint now, core::LogOffset seen_offset);
  void ConfirmOutstanding();

  std::string m_writer;
  core::Incarnation m_incarnation;
  WriterOptions m_options;
  Backoff m_backoff;
  TokenBucket m_rate;

  std::deque<QueuedRecord> m_queue;
  core::Bytes m_queued_bytes;
  size_t m_urgent_records = 0;

  std::optional<Outstanding> m_outstanding;
  bool m_in_flight = false;
  std::optional<core::TimePoint> m_retry_at;
  std::optional<core::TimePoint> m_last_new_entry;
  core::Sequence m_last_sequence;
  core::Sequence m_confirmed_sequence;
  std::optional<core::LogOffset> m_last_offset;
  uint64_t m_sends = 0;
  core::Bytes m_bytes_sent;
};

}  // namespace coppervalve::logclient

#endif  // COPPERVALVE_LOGCLIENT_WRITER_H_
