#include "coppervalve/router/detail/log_access.h"

#include <utility>  // move
#include <vector>   // vector

namespace coppervalve::router::detail {

using core::LogOffset;
using core::TimePoint;

namespace {

/// Deciding whether this router takes a snapshot ranks all live members, so it
/// happens at this interval only.
constexpr core::Duration kSnapshotReviewInterval = std::chrono::seconds(1);

// 53 random bits scaled to [0, 1), the precision of a double.
logclient::JitterHook JitterFrom(const RouterHooks& hooks) {
  return [random = hooks.random] {
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
  };
}

}  // namespace

LogAccess::LogAccess(const RouterSettings& settings,
                     core::Incarnation incarnation,
                     const RouterHooks& hooks,
                     Outbox& outbox,
                     ledger::Fold fold)
    : m_settings(settings),
      m_incarnation(incarnation),
      m_outbox(outbox),
      m_fold(std::move(fold)),
      m_reader(m_fold.next_offset(), settings.reader, JitterFrom(hooks)),
      m_writer(settings.router.value(),
               incarnation,
               settings.writer,
               JitterFrom(hooks)),
      m_snapshots(settings.router, settings.snapshots) {}

bool LogAccess::OnRead(TimePoint now, const v1::ReadReply& reply) {
  core::Result<logclient::ReadOutcome> result = m_reader.OnRead(now, reply);
  if (!core::IsOk(result)) {
    m_outbox.Alarm(core::Failure(result));
    return false;
  }
  m_read_failing_since.reset();
  const logclient::ReadOutcome outcome = core::TakeValue(std::move(result));
  if (outcome.gap_found) {
    m_outbox.Warn(
        "log_gap",
        {{"next_offset", std::to_string(m_fold.next_offset().value())},
         {"first_retained", std::to_string(reply.first_retained())}});
  }
  if (outcome.load.has_value()) {
    Load(*outcome.load);
  }
  for (const v1::LoggedEntry& logged : outcome.entries) {
    FoldEntry(logged);
  }
  return m_reader.last_read_to_end().has_value() &&
         m_reader.next_offset() == m_reader.end();
}

void LogAccess::Load(const v1::Snapshot& snapshot) {
  core::Result<ledger::Fold> loaded =
      ledger::Fold::FromState(snapshot.state(), m_settings.fold);
  if (!core::IsOk(loaded)) {
    m_outbox.Alarm(core::Failure(loaded));
    m_reader.OnSnapshotRejected();
    return;
  }
  m_fold = core::TakeValue(std::move(loaded));
  m_has_skipped_entries = m_writing;
  m_snapshots.OnSnapshotSeen(LogOffset(snapshot.offset()));
  m_outbox.Info("snapshot_loaded",
                {{"offset", std::to_string(snapshot.offset())}});
}

void LogAccess::FoldEntry(const v1::LoggedEntry& logged) {
  v1::Entry entry;
  // Every reader folds invalid bytes as an empty entry, so that a faulty writer
  // cannot make the folds of the fleet differ.
  if (!entry.ParseFromString(logged.entry())) {
    entry.Clear();
  }
  const core::Result<std::vector<ledger::Effect>> result =
      m_fold.Apply(LogOffset(logged.offset()), entry);
  if (!core::IsOk(result)) {
    Fail(core::Failure(result));
    return;
  }
  for (const v1::Record& record : entry.records()) {
    if (!record.has_snapshot()) {
      continue;
    }
    m_snapshots.OnSnapshotSeen(LogOffset(record.snapshot().offset()));
    m_snapshot_wanted = false;
  }
  if (entry.incarnation() == m_incarnation.value()) {
    m_writer.OnSequenceFolded(core::Sequence(entry.sequence()));
  }
  if (m_on_folded) {
    m_on_folded(entry, core::Value(result));
  }
  if (m_snapshot_wanted && m_fold.last_checkpoint() == m_fold.next_offset()) {
    CaptureSnapshot();
  }
}

void LogAccess::Fail(const core::Error& error) {
  if (m_failure.has_value()) {
    return;
  }
  m_failure = error;
  m_outbox.Alarm(error);
}

void LogAccess::OnReadFailed(TimePoint now) {
  m_reader.OnFailed(now);
  if (!m_read_failing_since.has_value()) {
    m_read_failing_since = now;
  }
}

void LogAccess::OnAppended(TimePoint now, LogOffset offset) {
  m_writer.OnAppended(now, offset);
}

void LogAccess::OnAppendFailed(TimePoint now) {
  m_writer.OnFailed(now);
}

bool LogAccess::IsUnavailable(TimePoint now) const {
  const bool reads_fail =
      m_read_failing_since.has_value() &&
      now - *m_read_failing_since >= m_settings.writer.outage_after;
  return reads_fail || m_writer.LogIsUnavailable(now);
}

core::Status LogAccess::Add(v1::Record record, logclient::Urgency urgency) {
  m_writing = true;
  return m_writer.Add(std::move(record), urgency);
}

bool LogAccess::HasRoomFor(size_t records) const {
  return m_writer.backlog_records() + records <=
         m_settings.writer.max_backlog_records;
}

void LogAccess::Pump(TimePoint now) {
  if (const auto read = m_reader.NextRead(now)) {
    m_outbox.Add(ReadLog{read->from, read->wait});
  }
  if (m_writing) {
    PumpSnapshot(now);
  }
  // The first entry of an incarnation must be its join. A keep-alive before it
  // would take sequence 1, and the join would be refused as a gap.
  if (!m_writing) {
    return;
  }
  if (auto entry = m_writer.NextAppend(now, m_fold.next_offset())) {
    m_outbox.Add(AppendLog{std::move(*entry)});
  }
}

void LogAccess::PumpSnapshot(TimePoint now) {
  if (m_snapshot_wanted || m_reader.is_scanning() ||
      now < m_next_snapshot_review) {
    return;
  }
  m_next_snapshot_review = now + kSnapshotReviewInterval;
  std::vector<core::RouterId> live;
  for (const ledger::Member* member : m_fold.LiveMembers()) {
    live.push_back(member->id);
  }
  const logclient::LogRange range{m_reader.first_retained(),
                                  m_fold.next_offset()};
  // Readers can only compare states at a checkpoint, so the snapshot waits for
  // the next one.
  m_snapshot_wanted = m_snapshots.IsDue(now, range, live);
}

void LogAccess::CaptureSnapshot() {
  m_snapshot_wanted = false;
  v1::Record record;
  v1::Snapshot& snapshot = *record.mutable_snapshot();
  snapshot.set_offset(m_fold.next_offset().value());
  snapshot.set_digest(m_fold.Digest());
  *snapshot.mutable_state() = m_fold.ToState();
  const core::Bytes size(static_cast<int64_t>(record.ByteSizeLong()));
  const core::Status fits = m_snapshots.CheckSize(size);
  if (!core::IsOk(fits)) {
    m_outbox.Alarm(core::Failure(fits));
    return;
  }
  const core::Status added =
      m_writer.Add(std::move(record), logclient::Urgency::kRoutine);
  if (!core::IsOk(added)) {
    m_outbox.Alarm(core::Failure(added));
  }
}

}  // namespace coppervalve::router::detail
