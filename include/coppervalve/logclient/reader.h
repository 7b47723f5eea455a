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

/// @brief Options of a Reader.
struct ReaderOptions {
  /// Long-poll timeout of a read at the end of the log.
  core::Duration long_poll = std::chrono::seconds(1);
  BackoffOptions backoff;
};

/// @brief Parameters of a read request.
struct ReadRequest {
  core::LogOffset from;
  core::Duration wait{};

  friend bool operator==(const ReadRequest&, const ReadRequest&) = default;
};

/// @brief What the owner must do after a reply, in the order of the members.
struct ReadOutcome {
  /// Unread entries have expired: the state is stale (CV-602) until a snapshot
  /// is loaded.
  bool gap_found = false;
  /// Snapshot that replaces the state.
  std::optional<v1::Snapshot> load;
  /// Entries to fold next, contiguous from the offset of the state.
  std::vector<v1::LoggedEntry> entries;
};

/// @brief Log reader without I/O: decides what to read next and tracks whether
/// the state is current.
///
/// The owner calls NextRead() on each tick and after each event, sends the
/// returned request and calls exactly one of OnRead() or OnFailed() for it (the
/// sender enforces the timeout). A new router starts at offset 0; the first
/// reply shows whether that offset is still retained.
class Reader {
 public:
  Reader(core::LogOffset next, ReaderOptions options, JitterHook jitter);

  /// @brief Returns the read to send now, if any; at most one is outstanding.
  /// @complexity constant
  std::optional<ReadRequest> NextRead(core::TimePoint now);

  /// @brief Handles the reply to the outstanding read.
  /// @return what to do; kLogRecordInvalid when the reply contradicts earlier
  /// replies (the read is then retried after a backoff)
  /// @complexity linear in the size of the reply
  core::Result<ReadOutcome> OnRead(core::TimePoint now, v1::ReadReply reply);

  /// @brief The outstanding read failed.
  void OnFailed(core::TimePoint now);

  /// @brief Reports that the snapshot to load was unusable; the scan restarts.
  void OnSnapshotRejected();

  /// @return next offset to fold; while scanning, the offset that expired
  /// unread
  core::LogOffset next_offset() const { return m_next; }
  /// @return whether it scans the retained part of the log for a snapshot
  bool is_scanning() const { return m_scan.has_value(); }
  /// @return whether a scan reached the end of the log without a snapshot and
  /// now waits for one to be appended
  bool scan_found_nothing() const;
  /// @return when the last read that reached the end of the log was sent (not
  /// answered): everything in the log at that time is folded. Not set while
  /// scanning.
  std::optional<core::TimePoint> last_read_to_end() const {
    return m_last_read_to_end;
  }
  /// @return lowest retained offset, as last reported
  core::LogOffset first_retained() const { return m_first_retained; }
  /// @return end of the log, as last reported
  core::LogOffset end() const { return m_end; }
  /// @return failed reads since the last successful one
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
