#ifndef COPPERVALVE_ROUTER_DETAIL_LOG_ACCESS_H_
#define COPPERVALVE_ROUTER_DETAIL_LOG_ACCESS_H_

#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <utility>     // move

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/logclient/reader.h"
#include "coppervalve/logclient/snapshot_policy.h"
#include "coppervalve/logclient/writer.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/settings.h"

namespace coppervalve::router::detail {

/// @brief Access to the log for one incarnation: reads and folds entries,
/// batches and appends records, takes snapshots.
class LogAccess {
 public:
  /// @brief Called for each folded entry, in log order, with its effects.
  using OnFolded = std::function<void(const v1::Entry& entry,
                                      const std::vector<ledger::Effect>&)>;

  /// @param fold where reading starts: empty, or that of the previous
  /// incarnation of this process
  LogAccess(const RouterSettings& settings,
            core::Incarnation incarnation,
            const RouterHooks& hooks,
            Outbox& outbox,
            ledger::Fold fold);

  void SetOnFolded(OnFolded on_folded) { m_on_folded = std::move(on_folded); }

  /// @brief Folds the entries of a reply.
  /// @return whether it reached the end of the log
  bool OnRead(core::TimePoint now, const v1::ReadReply& reply);
  void OnReadFailed(core::TimePoint now);
  void OnAppended(core::TimePoint now, core::LogOffset offset);
  void OnAppendFailed(core::TimePoint now);
  /// @brief Starts the read, append or snapshot that is due.
  void Pump(core::TimePoint now);

  /// @brief Queues a record. Nothing is appended before the first record.
  /// @error kBacklogFull
  core::Status Add(v1::Record record, logclient::Urgency urgency);
  /// @return whether `records` more records fit
  bool HasRoomFor(size_t records) const;

  const ledger::Fold& fold() const { return m_fold; }
  /// @brief Hands over the fold when this incarnation has ended.
  ledger::Fold TakeFold() { return std::move(m_fold); }
  const logclient::Writer& writer() const { return m_writer; }
  /// @return the first error of the fold; admission must stop
  const std::optional<core::Error>& failure() const { return m_failure; }
  std::optional<core::TimePoint> last_read_to_end() const {
    return m_reader.last_read_to_end();
  }
  /// @return whether a snapshot loaded after this incarnation began to write
  /// has skipped entries
  bool has_skipped_entries() const { return m_has_skipped_entries; }
  /// @return whether reads or appends have failed for too long
  bool IsUnavailable(core::TimePoint now) const;

 private:
  void Load(const v1::Snapshot& snapshot);
  void FoldEntry(const v1::LoggedEntry& logged);
  void PumpSnapshot(core::TimePoint now);
  void CaptureSnapshot();
  void Fail(const core::Error& error);

  const RouterSettings& m_settings;
  core::Incarnation m_incarnation;
  Outbox& m_outbox;
  OnFolded m_on_folded;
  ledger::Fold m_fold;
  logclient::Reader m_reader;
  logclient::Writer m_writer;
  logclient::SnapshotPolicy m_snapshots;
  bool m_writing = false;
  bool m_has_skipped_entries = false;
  bool m_snapshot_wanted = false;
  core::TimePoint m_next_snapshot_review{};
  std::optional<core::Error> m_failure;
  std::optional<core::TimePoint> m_read_failing_since;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_LOG_ACCESS_H_
