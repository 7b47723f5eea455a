#ifndef COPPERVALVE_LOGCLIENT_READER_H_
#define COPPERVALVE_LOGCLIENT_READER_H_

#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <set>       // set
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/logclient/backoff.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::logclient {

/// @brief Bounds of a Reader.
struct ReaderOptions {
  /// How long the service may hold a read at the end of the log.
  core::Duration long_poll = std::chrono::seconds(1);
  BackoffOptions backoff;
};

/// @brief One read to send.
struct ReadRequest {
  core::LogOffset from;
  core::Duration wait{};

  friend bool operator==(const ReadRequest&, const ReadRequest&) = default;
};

/// @brief What the owner does with a reply, in this order.
struct ReadOutcome {
  /// This reply showed that unread entries are gone: the state is no longer
  /// current (CV-602) until a snapshot comes.
  bool gap_found = false;
  /// Replace the state by this snapshot.
  std::optional<v1::Snapshot> load;
  /// Then fold these, contiguous from the offset the state is at.
  std::vector<v1::LoggedEntry> entries;
};

/// @brief The reading side: what to read next, and whether it is current.
///
/// The owner asks NextRead() on each tick and after each event, sends what it
/// returns and reports exactly one OnRead() or OnFailed() for it (the sender
/// bounds the time of a read). A new router starts at offset 0; the first reply
/// tells whether the log still begins there.
class Reader {
 public:
  Reader(core::LogOffset next, ReaderOptions options, JitterHook jitter);

  /// @brief The read to send now, if any; at most one is outstanding.
  /// @complexity constant
  std::optional<ReadRequest> NextRead(core::TimePoint now);

  /// @brief Takes the reply of the outstanding read.
  /// @return what to do; kLogRecordInvalid when the reply contradicts what was
  /// read before (it is then read again after a backoff)
  /// @complexity linear in the size of the reply
  core::Result<ReadOutcome> OnRead(core::TimePoint now, v1::ReadReply reply);

  /// @brief The outstanding read failed.
  void OnFailed(core::TimePoint now);

  /// @brief The owner could not use the snapshot it was told to load: scan on.
  void OnSnapshotRejected();

  /// @return next offset to fold; while scanning, the one lost
  core::LogOffset next_offset() const { return m_next; }
  /// @return whether it looks for a snapshot in the retained part
  bool is_scanning() const { return m_scan.has_value(); }
  /// @return whether a scan reached the end of the log without a snapshot and
  /// now waits for one to be appended
  bool scan_found_nothing() const;
  /// @return when the last read that reached the end of the log was SENT: all
  /// that the log held at that time is folded. Never while scanning.
  std::optional<core::TimePoint> last_read_to_end() const {
    return m_last_read_to_end;
  }
  /// @return lowest retained offset, as last reported
  core::LogOffset first_retained() const { return m_first_retained; }
  /// @return end of the log, as last reported
  core::LogOffset end() const { return m_end; }
  /// @return failed reads since the last good one
  uint32_t failures() const { return m_backoff.failures(); }

 private:
  struct Scan {
    core::LogOffset next;
    std::optional<v1::Snapshot> newest;
    core::LogOffset newest_logged_at;
    bool reached_end = false;
  };

  core::Status CheckReply(const v1::ReadReply& reply) const;
  ReadOutcome TakeEntries(v1::ReadReply reply);
  ReadOutcome ContinueScan(const v1::ReadReply& reply);
  void ExamineEntry(const v1::LoggedEntry& logged);
  ReadOutcome FinishScan();
  core::LogOffset ReadPosition() const;
  void StartScan();
  void ScheduleRetry(core::TimePoint now);

  ReaderOptions m_options;
  Backoff m_backoff;
  core::LogOffset m_next;
  core::LogOffset m_first_retained;
  core::LogOffset m_end;
  std::optional<Scan> m_scan;
  core::LogOffset m_loaded_from;
  std::set<core::LogOffset> m_rejected_snapshots;
  std::optional<core::TimePoint> m_sent;
  std::optional<core::TimePoint> m_retry_at;
  std::optional<core::TimePoint> m_last_read_to_end;
  bool m_at_end = false;
};

}  // namespace coppervalve::logclient

#endif  // COPPERVALVE_LOGCLIENT_READER_H_
