#include "apps/coppervalve/log_view.h"

#include <algorithm>  // reverse
#include <string>     // to_string
#include <utility>    // move

namespace coppervalve::cli {

namespace {

using core::ErrorId;
using core::LogOffset;
using std::chrono::milliseconds;

constexpr milliseconds kNoWait{0};
constexpr size_t kKeptSnapshots = 4;

// All readers treat an entry that cannot be parsed as an empty one.
v1::Entry ReadEntry(const v1::LoggedEntry& logged) {
  v1::Entry entry;
  if (!entry.ParseFromString(logged.entry())) {
    entry.Clear();
  }
  return entry;
}

}  // namespace

core::Status LogView::Open(Start start, const Observer& observer) {
  const core::Result<v1::ReadReply> first =
      m_client.Read(LogOffset(0), kNoWait);
  if (!core::IsOk(first)) {
    return core::Failure(first);
  }
  const LogOffset first_retained(core::Value(first).first_retained());
  if (first_retained > LogOffset(0)) {
    core::Status loaded = LoadSnapshot(first_retained, start);
    if (!core::IsOk(loaded)) {
      return loaded;
    }
  }
  return CatchUp(kNoWait, observer);
}

core::Status LogView::CatchUp(milliseconds wait, const Observer& observer) {
  while (true) {
    const core::Result<v1::ReadReply> read =
        m_client.Read(m_fold.next_offset(), wait);
    if (!core::IsOk(read)) {
      return core::Failure(read);
    }
    const v1::ReadReply& reply = core::Value(read);
    if (LogOffset(reply.first_retained()) > m_fold.next_offset()) {
      return core::Error{
          ErrorId::kLogGap, std::to_string(m_fold.next_offset().value()),
          "entries expired while they were read; run the command again"};
    }
    core::Status applied = ApplyAll(reply, observer);
    if (!core::IsOk(applied)) {
      return applied;
    }
    if (m_fold.next_offset().value() >= reply.end()) {
      return core::Ok();
    }
    wait = kNoWait;
  }
}

core::Status LogView::ApplyAll(const v1::ReadReply& reply,
                               const Observer& observer) {
  for (const v1::LoggedEntry& logged : reply.entries()) {
    const LogOffset offset(logged.offset());
    if (offset < m_fold.next_offset()) {
      continue;
    }
    const v1::Entry entry = ReadEntry(logged);
    const auto effects = m_fold.Apply(offset, entry);
    if (!core::IsOk(effects)) {
      return core::Failure(effects);
    }
    if (observer) {
      observer(offset, entry, core::Value(effects));
    }
  }
  return core::Ok();
}

core::Status LogView::LoadSnapshot(LogOffset first_retained, Start start) {
  std::vector<v1::Snapshot> usable;
  LogOffset next = first_retained;
  while (start == Start::kNewest || usable.empty()) {
    const core::Result<v1::ReadReply> read = m_client.Read(next, kNoWait);
    if (!core::IsOk(read)) {
      return core::Failure(read);
    }
    for (const v1::LoggedEntry& logged : core::Value(read).entries()) {
      next = LogOffset(logged.offset() + 1);
      const v1::Entry entry = ReadEntry(logged);
      for (const v1::Record& record : entry.records()) {
        // A state older than the retained part lacks entries that have expired.
        if (record.has_snapshot() &&
            LogOffset(record.snapshot().offset()) >= first_retained) {
          usable.push_back(record.snapshot());
        }
        if (usable.size() > kKeptSnapshots) {
          usable.erase(usable.begin());
        }
      }
    }
    if (next.value() >= core::Value(read).end() ||
        core::Value(read).entries().empty()) {
      break;
    }
  }
  if (start == Start::kNewest) {
    std::reverse(usable.begin(), usable.end());
  }
  for (const v1::Snapshot& snapshot : usable) {
    core::Result<ledger::Fold> loaded =
        ledger::Fold::FromState(snapshot.state());
    if (core::IsOk(loaded)) {
      m_fold = core::TakeValue(std::move(loaded));
      m_started_at = m_fold.next_offset();
      return core::Ok();
    }
  }
  return core::Error{ErrorId::kLogGap, std::to_string(first_retained.value()),
                     "the log's begin has expired and no usable snapshot is "
                     "retained"};
}

}  // namespace coppervalve::cli
