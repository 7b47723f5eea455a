#include "coppervalve/logclient/reader.h"

#include <algorithm>  // max
#include <string>     // to_string
#include <utility>    // move

namespace coppervalve::logclient {

namespace {

core::Error InvalidReply(const char* detail, uint64_t offset) {
  return {core::ErrorId::kLogRecordInvalid, std::to_string(offset), detail};
}

}  // namespace

Reader::Reader(core::LogOffset next, ReaderOptions options, JitterHook jitter)
    : m_options(options),
      m_backoff(options.backoff, std::move(jitter)),
      m_next(next) {}

std::optional<ReadRequest> Reader::NextRead(core::TimePoint now) {
  if (m_sent || (m_retry_at && now < *m_retry_at)) {
    return std::nullopt;
  }
  m_sent = now;
  m_retry_at.reset();
  // A long poll returns only entries that are appended while it waits, so it is
  // used only when no unread entries are known.
  return ReadRequest{ReadPosition(),
                     m_at_end ? m_options.long_poll : core::Duration()};
}

core::Result<ReadOutcome> Reader::OnRead(core::TimePoint now,
                                         v1::ReadReply reply) {
  if (!m_sent) {
    return ReadOutcome{};
  }
  const core::TimePoint sent = *m_sent;
  m_sent.reset();
  if (core::Status checked = CheckReply(reply); !core::IsOk(checked)) {
    ScheduleRetry(now);
    return core::Failure(checked);
  }
  m_backoff.Reset();
  m_first_retained = core::LogOffset(reply.first_retained());
  m_end = core::LogOffset(reply.end());
  ReadOutcome outcome =
      m_scan ? ContinueScan(reply) : TakeEntries(std::move(reply));
  m_at_end = ReadPosition() == m_end;
  if (m_at_end && !m_scan) {
    // Use the time of sending, not of arrival: a process that was paused may
    // find an old reply in its socket. With the time of arrival the reply would
    // count as current, and the router would use a configuration replaced long
    // ago.
    m_last_read_to_end = sent;
  }
  return outcome;
}

void Reader::OnFailed(core::TimePoint now) {
  if (!m_sent) {
    return;
  }
  m_sent.reset();
  ScheduleRetry(now);
}

void Reader::OnSnapshotRejected() {
  m_rejected_snapshots.insert(m_loaded_from);
  StartScan();
}

bool Reader::scan_found_nothing() const {
  return m_scan && m_scan->reached_end;
}

core::Status Reader::CheckReply(const v1::ReadReply& reply) const {
  const uint64_t position = ReadPosition().value();
  // The log only grows. If it ends before an offset that was already read, it
  // is a different log or has lost its tail; continuing would fold different
  // entries at offsets that are already folded.
  if (reply.end() < position || reply.end() < m_end.value()) {
    return InvalidReply("the log ends before an offset already read",
                        reply.end());
  }
  if (reply.first_retained() > reply.end()) {
    return InvalidReply("retained part ends before it begins", reply.end());
  }
  // Accepting an empty reply before the end would repeat the read immediately,
  // in an endless loop.
  const bool has_unread =
      position >= reply.first_retained() && position < reply.end();
  if (has_unread && reply.entries().empty()) {
    return InvalidReply("unread entries are missing", position);
  }
  uint64_t expected = std::max(position, reply.first_retained());
  for (const v1::LoggedEntry& logged : reply.entries()) {
    if (logged.offset() != expected || logged.offset() >= reply.end()) {
      return InvalidReply("entry offset is not contiguous", logged.offset());
    }
    ++expected;
  }
  return core::Ok();
}

ReadOutcome Reader::TakeEntries(v1::ReadReply reply) {
  ReadOutcome outcome;
  if (m_first_retained > m_next) {
    // The entries in between have expired. Folding the later entries would make
    // the state diverge from that of the other routers (balances would differ),
    // so nothing is folded until a snapshot replaces the state.
    outcome.gap_found = true;
    StartScan();
    return outcome;
  }
  outcome.entries.reserve(static_cast<size_t>(reply.entries_size()));
  for (v1::LoggedEntry& logged : *reply.mutable_entries()) {
    outcome.entries.push_back(std::move(logged));
  }
  m_next = core::LogOffset(m_next.value() + outcome.entries.size());
  return outcome;
}

ReadOutcome Reader::ContinueScan(const v1::ReadReply& reply) {
  m_scan->next = std::max(m_scan->next, m_first_retained);
  for (const v1::LoggedEntry& logged : reply.entries()) {
    ExamineEntry(logged);
    m_scan->next = core::LogOffset(logged.offset() + 1);
  }
  m_scan->reached_end = m_scan->next == m_end;
  if (!m_scan->reached_end || !m_scan->newest) {
    return {};
  }
  return FinishScan();
}

void Reader::ExamineEntry(const v1::LoggedEntry& logged) {
  const core::LogOffset logged_at(logged.offset());
  v1::Entry entry;
  if (m_rejected_snapshots.contains(logged_at) ||
      !entry.ParseFromString(logged.entry())) {
    return;
  }
  for (const v1::Record& record : entry.records()) {
    if (!record.has_snapshot()) {
      continue;
    }
    const v1::Snapshot& snapshot = record.snapshot();
    // A snapshot is taken before its entry is appended, so its state offset
    // cannot exceed the offset of the entry.
    if (snapshot.offset() > logged.offset()) {
      continue;
    }
    if (m_scan->newest && snapshot.offset() < m_scan->newest->offset()) {
      continue;
    }
    m_scan->newest = snapshot;
    m_scan->newest_logged_at = logged_at;
  }
}

ReadOutcome Reader::FinishScan() {
  ReadOutcome outcome;
  const core::LogOffset offset(m_scan->newest->offset());
  if (offset < m_first_retained) {
    // Some entries after the snapshot have expired: wait for a newer snapshot.
    m_scan->newest.reset();
    return outcome;
  }
  m_loaded_from = m_scan->newest_logged_at;
  m_next = offset;
  outcome.load = std::move(m_scan->newest);
  m_scan.reset();
  return outcome;
}

core::LogOffset Reader::ReadPosition() const {
  return m_scan ? m_scan->next : m_next;
}

void Reader::StartScan() {
  m_rejected_snapshots.erase(
      m_rejected_snapshots.begin(),
      m_rejected_snapshots.lower_bound(m_first_retained));
  m_scan = Scan{};
  m_scan->next = m_first_retained;
  m_at_end = false;
  m_last_read_to_end.reset();
}

void Reader::ScheduleRetry(core::TimePoint now) {
  m_retry_at = now + m_backoff.NextDelay();
}

}  // namespace coppervalve::logclient
