#include <CppUTest/TestHarness.h>

#include <chrono>   // literals
#include <cstdint>  // uint64_t
#include <string>   // string
#include <utility>  // move

#include "coppervalve/logclient/reader.h"
#include "fake_log.h"

using namespace coppervalve;             // NOLINT
using namespace coppervalve::logclient;  // NOLINT
using namespace std::chrono_literals;

namespace {

Reader MakeReader(uint64_t next = 0) {
  return {core::LogOffset(next), ReaderOptions{}, NoJitter};
}

std::string EntryBytes(uint64_t sequence) {
  v1::Entry entry;
  entry.set_sequence(sequence);
  return entry.SerializeAsString();
}

std::string SnapshotBytes(uint64_t offset) {
  v1::Entry entry;
  entry.add_records()->mutable_snapshot()->set_offset(offset);
  return entry.SerializeAsString();
}

void Fill(FakeLog& log, uint64_t entries) {
  for (uint64_t i = 0; i < entries; ++i) {
    log.Append(EntryBytes(i));
  }
}

ReadOutcome ReadOnce(Reader& reader,
                     const FakeLog& log,
                     core::Duration now = 0ms) {
  const auto request = reader.NextRead(At(now));
  CHECK(request.has_value());
  auto outcome = reader.OnRead(At(now), log.Read(request->from));
  CHECK(core::IsOk(outcome));
  return core::TakeValue(std::move(outcome));
}

}  // namespace

// clang-format off
TEST_GROUP(Reader){};
// clang-format on

TEST(Reader, it_reads_on_without_waiting_and_long_polls_at_the_end) {
  FakeLog log;
  Fill(log, 150);
  Reader reader = MakeReader();
  CHECK_EQUAL(100U, ReadOnce(reader, log).entries.size());
  CHECK(!reader.last_read_to_end().has_value());
  CHECK_EQUAL(50U, ReadOnce(reader, log).entries.size());
  const ReadRequest at_end{core::LogOffset(150), 1s};
  CHECK(reader.NextRead(At(0ms)).value() == at_end);
  CHECK(!reader.NextRead(At(1ms)).has_value());
}

// A router is paused for an hour with a read in flight, and the reply waits in
// its socket. Dated by its arrival, the hour-old reply would count as current.
TEST(Reader, a_read_to_the_end_is_dated_when_it_was_sent) {
  FakeLog log;
  Reader reader = MakeReader();
  const auto request = reader.NextRead(At(5s));
  CHECK(core::IsOk(reader.OnRead(At(1h), log.Read(request->from))));
  CHECK(reader.last_read_to_end() == At(5s));
}

TEST(Reader, failed_reads_back_off_and_keep_the_position) {
  FakeLog log;
  Fill(log, 3);
  Reader reader = MakeReader();
  CHECK(reader.NextRead(At(0ms)).has_value());
  reader.OnFailed(At(0ms));
  CHECK(!reader.NextRead(At(49ms)).has_value());
  CHECK(reader.NextRead(At(50ms)).has_value());
  reader.OnFailed(At(50ms));
  CHECK(!reader.NextRead(At(149ms)).has_value());
  CHECK_EQUAL(2U, reader.failures());
  CHECK_EQUAL(3U, ReadOnce(reader, log, 150ms).entries.size());
  CHECK_EQUAL(0U, reader.failures());
}

// A router could not reach the log until its next entries had expired. It must
// not fold later entries; it scans the retained part, loads the newest snapshot
// (taken two offsets before its entry) and continues from there.
TEST(Reader, a_gap_leads_to_the_newest_retained_snapshot_and_on_from_it) {
  FakeLog log;
  Fill(log, 40);
  log.Append(SnapshotBytes(38));
  Fill(log, 19);
  log.Append(SnapshotBytes(58));
  Fill(log, 9);
  Reader reader = MakeReader(10);
  log.DropBefore(30);

  const ReadOutcome gap = ReadOnce(reader, log);
  CHECK(gap.gap_found);
  CHECK(gap.entries.empty());
  CHECK(reader.is_scanning());
  const ReadOutcome found = ReadOnce(reader, log);
  CHECK_EQUAL(58U, found.load.value().offset());
  CHECK(!reader.is_scanning());
  CHECK(!reader.last_read_to_end().has_value());
  const ReadOutcome rest = ReadOnce(reader, log, 1s);
  CHECK_EQUAL(12U, rest.entries.size());
  CHECK_EQUAL(58U, rest.entries.front().offset());
  CHECK(reader.last_read_to_end() == At(1s));
}

// The only retained snapshot is followed by entries of which some have expired.
// Loading it would skip those; the reader waits until another router appends a
// newer one.
TEST(Reader, a_snapshot_followed_by_a_gap_is_not_loaded) {
  FakeLog log;
  Fill(log, 40);
  log.Append(SnapshotBytes(28));
  log.DropBefore(30);
  Reader reader = MakeReader();
  CHECK(ReadOnce(reader, log).gap_found);
  CHECK(!ReadOnce(reader, log).load.has_value());
  CHECK(reader.scan_found_nothing());
  log.Append(SnapshotBytes(41));
  CHECK_EQUAL(41U, ReadOnce(reader, log).load.value().offset());
}

// The newest snapshot is corrupt: its digest does not match. The reader uses
// the one before it and must not choose the corrupt one again.
TEST(Reader, a_rejected_snapshot_is_skipped_in_the_next_scan) {
  FakeLog log;
  Fill(log, 40);
  log.Append(SnapshotBytes(39));
  log.Append(SnapshotBytes(40));
  log.DropBefore(30);
  Reader reader = MakeReader();
  CHECK(ReadOnce(reader, log).gap_found);
  CHECK_EQUAL(40U, ReadOnce(reader, log).load.value().offset());
  reader.OnSnapshotRejected();
  CHECK_EQUAL(39U, ReadOnce(reader, log).load.value().offset());
}

// The service returns a log that ends before an offset already read: a
// different log, or one that lost its tail. Continuing would fold different
// entries at offsets that are already folded.
TEST(Reader, a_log_that_shrank_is_an_error_and_not_folded) {
  FakeLog log;
  Fill(log, 10);
  Reader reader = MakeReader();
  ReadOnce(reader, log);
  FakeLog other;
  Fill(other, 4);
  const auto request = reader.NextRead(At(0ms));
  const auto outcome = reader.OnRead(At(0ms), other.Read(request->from));
  CHECK(core::Failure(outcome).id == core::ErrorId::kLogRecordInvalid);
  CHECK(!reader.NextRead(At(0ms)).has_value());
  CHECK_EQUAL(10U, reader.next_offset().value());
}

TEST(Reader, an_empty_reply_before_the_end_is_an_error_and_backs_off) {
  FakeLog log;
  Fill(log, 10);
  Reader reader = MakeReader();
  const auto request = reader.NextRead(At(0ms));
  const auto outcome = reader.OnRead(At(0ms), log.Read(request->from, 0));
  CHECK(core::Failure(outcome).id == core::ErrorId::kLogRecordInvalid);
  CHECK(!reader.NextRead(At(0ms)).has_value());
}
