#include "tools/load/log_reader.h"

#include <optional>  // optional
#include <utility>   // move

#include "tools/load/http_exchange.h"

namespace coppervalve::load {

namespace {

using core::ErrorId;
using core::LogOffset;

constexpr unsigned kHttpOk = 200;
constexpr size_t kReadBytes = size_t{4} << 20U;

// All readers of the log treat an unparsable entry as empty.
v1::Entry ParseEntry(const v1::LoggedEntry& logged) {
  v1::Entry entry;
  if (!entry.ParseFromString(logged.entry())) {
    entry.Clear();
  }
  return entry;
}

// @return the first snapshot that covers all expired entries
std::optional<ledger::Fold> FirstUsableSnapshot(const v1::ReadReply& reply,
                                                LogOffset first_retained) {
  for (const v1::LoggedEntry& logged : reply.entries()) {
    const v1::Entry entry = ParseEntry(logged);
    for (const v1::Record& record : entry.records()) {
      if (!record.has_snapshot() ||
          LogOffset(record.snapshot().offset()) < first_retained) {
        continue;
      }
      core::Result<ledger::Fold> fold =
          ledger::Fold::FromState(record.snapshot().state());
      if (core::IsOk(fold)) {
        return core::TakeValue(std::move(fold));
      }
    }
  }
  return std::nullopt;
}

}  // namespace

LogReader::LogReader(std::string address, OnEffects on_effects)
    : m_address(std::move(address)), m_on_effects(std::move(on_effects)) {}

core::Status LogReader::CatchUp() {
  if (!m_started) {
    core::Status started = Start();
    if (!core::IsOk(started)) {
      return started;
    }
    m_started = true;
  }
  while (true) {
    const auto read = Read(m_fold.next_offset());
    if (!core::IsOk(read)) {
      return core::Failure(read);
    }
    const v1::ReadReply& reply = core::Value(read);
    core::Status applied = ApplyAll(reply);
    if (!core::IsOk(applied)) {
      return applied;
    }
    if (m_fold.next_offset().value() >= reply.end()) {
      return core::Ok();
    }
    if (reply.entries().empty()) {
      return core::Error{ErrorId::kLogGap,
                         std::to_string(m_fold.next_offset().value()), ""};
    }
  }
}

core::Result<v1::ReadReply> LogReader::Read(LogOffset from) const {
  ExchangeCall call;
  call.address = m_address;
  call.target = "/log/read?from=" + std::to_string(from.value()) +
                "&max_bytes=" + std::to_string(kReadBytes) + "&wait_ms=0";
  const ExchangeReply reply = ExchangeBlocking(std::move(call));
  if (reply.result != ExchangeResult::kComplete || reply.status != kHttpOk) {
    return core::Error{ErrorId::kLogUnavailable, m_address,
                       "HTTP status " + std::to_string(reply.status)};
  }
  v1::ReadReply read;
  if (!read.ParseFromString(reply.body)) {
    return core::Error{ErrorId::kLogRecordInvalid, m_address, "unreadable"};
  }
  return read;
}

core::Status LogReader::Start() {
  const auto first = Read(LogOffset(0));
  if (!core::IsOk(first)) {
    return core::Failure(first);
  }
  const LogOffset first_retained(core::Value(first).first_retained());
  return first_retained == LogOffset(0) ? core::Ok()
                                        : StartAtSnapshot(first_retained);
}

core::Status LogReader::StartAtSnapshot(LogOffset first_retained) {
  LogOffset next = first_retained;
  while (true) {
    const auto read = Read(next);
    if (!core::IsOk(read)) {
      return core::Failure(read);
    }
    const v1::ReadReply& reply = core::Value(read);
    if (auto fold = FirstUsableSnapshot(reply, first_retained)) {
      m_fold = *std::move(fold);
      m_started_at = m_fold.next_offset();
      return core::Ok();
    }
    if (reply.entries().empty()) {
      return core::Error{ErrorId::kLogGap,
                         std::to_string(first_retained.value()),
                         "no usable snapshot is retained"};
    }
    next = LogOffset(reply.entries().rbegin()->offset() + 1);
  }
}

core::Status LogReader::ApplyAll(const v1::ReadReply& reply) {
  for (const v1::LoggedEntry& logged : reply.entries()) {
    const LogOffset offset(logged.offset());
    if (offset < m_fold.next_offset()) {
      continue;
    }
    const auto effects = m_fold.Apply(offset, ParseEntry(logged));
    if (!core::IsOk(effects)) {
      return core::Failure(effects);
    }
    if (m_on_effects) {
      m_on_effects(core::Value(effects));
    }
  }
  return core::Ok();
}

}  // namespace coppervalve::load
