#include <CppUTest/TestHarness.h>

#include <chrono>    // literals
#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/logclient/writer.h"
#include "fake_log.h"

using namespace coppervalve;             // NOLINT
using namespace coppervalve::logclient;  // NOLINT
using namespace std::chrono_literals;

namespace {

constexpr core::LogOffset kSeen{7};

Writer MakeWriter(WriterOptions options = {}) {
  return {"router-1", core::Incarnation(42), options, NoJitter};
}

v1::Entry Parse(const std::string& bytes) {
  v1::Entry entry;
  CHECK(entry.ParseFromString(bytes));
  return entry;
}

std::vector<uint64_t> UpTo(uint64_t last) {
  std::vector<uint64_t> numbers;
  for (uint64_t number = 1; number <= last; ++number) {
    numbers.push_back(number);
  }
  return numbers;
}

void AddOk(Writer& writer, uint64_t version, Urgency urgency) {
  CHECK(core::IsOk(writer.Add(Confirmation(version), urgency)));
}

}  // namespace

// clang-format off
TEST_GROUP(Writer){};
// clang-format on

TEST(Writer, an_entry_names_its_writer_incarnation_sequence_and_seen_offset) {
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kRoutine);
  const v1::Entry entry = Parse(writer.NextAppend(At(0ms), kSeen).value());
  STRCMP_EQUAL("router-1", entry.writer().c_str());
  CHECK_EQUAL(42U, entry.incarnation());
  CHECK_EQUAL(1U, entry.sequence());
  CHECK_EQUAL(7U, entry.seen_offset());
  CHECK_EQUAL(1, entry.records_size());
}

TEST(Writer, routine_records_share_one_append_per_batch_interval) {
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kRoutine);
  CHECK(writer.NextAppend(At(0ms), kSeen).has_value());
  writer.OnAppended(At(1ms), core::LogOffset(0));
  AddOk(writer, 2, Urgency::kRoutine);
  AddOk(writer, 3, Urgency::kRoutine);
  CHECK(!writer.NextAppend(At(99ms), kSeen).has_value());
  const v1::Entry entry = Parse(writer.NextAppend(At(100ms), kSeen).value());
  CHECK_EQUAL(2U, entry.sequence());
  CHECK_EQUAL(2, entry.records_size());
}

TEST(Writer, an_urgent_record_goes_as_soon_as_the_last_append_has_ended) {
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kRoutine);
  CHECK(writer.NextAppend(At(0ms), kSeen).has_value());
  AddOk(writer, 2, Urgency::kUrgent);
  CHECK(!writer.NextAppend(At(1ms), kSeen).has_value());
  writer.OnAppended(At(2ms), core::LogOffset(0));
  CHECK(writer.NextAppend(At(2ms), kSeen).has_value());
}

TEST(Writer, a_quiet_writer_appends_a_keep_alive_but_none_before_its_join) {
  Writer writer = MakeWriter();
  CHECK(!writer.NextAppend(At(60s), kSeen).has_value());
  AddOk(writer, 1, Urgency::kUrgent);
  CHECK(writer.NextAppend(At(60s), kSeen).has_value());
  writer.OnAppended(At(60s), core::LogOffset(0));
  CHECK(!writer.NextAppend(At(62'999ms), kSeen).has_value());
  const v1::Entry entry = Parse(writer.NextAppend(At(63s), kSeen).value());
  CHECK_EQUAL(0, entry.records_size());
  CHECK_EQUAL(2U, entry.sequence());
}

// The log accepts an append, but its reply is lost. The writer cannot
// distinguish this from an append that never arrived and retries it. If the
// retry were a new entry, a grant in it would be folded twice.
TEST(Writer, a_lost_reply_leads_to_the_same_bytes_and_folds_once) {
  FakeLog log;
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kUrgent);
  const std::string first = writer.NextAppend(At(0ms), kSeen).value();
  log.Append(first);
  writer.OnFailed(At(10ms));
  AddOk(writer, 2, Urgency::kUrgent);

  CHECK(!writer.NextAppend(At(11ms), kSeen).has_value());
  const std::string repeated =
      writer.NextAppend(At(200ms), core::LogOffset(900)).value();
  CHECK(first == repeated);
  writer.OnAppended(At(201ms), log.Append(repeated));
  log.Append(writer.NextAppend(At(201ms), kSeen).value());

  CHECK_EQUAL(3U, log.end());
  CHECK(log.FoldedVersions() == UpTo(2));
}

// The replies to an append and to its retries are lost. The writer reads its
// own entry in the log, which confirms it; the late report of a retry in flight
// must not be attributed to the next entry.
TEST(Writer, reading_its_own_entry_confirms_an_append_whose_reply_is_lost) {
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kUrgent);
  CHECK(writer.NextAppend(At(0ms), kSeen).has_value());
  writer.OnFailed(At(10ms));
  AddOk(writer, 2, Urgency::kUrgent);
  CHECK(writer.NextAppend(At(200ms), kSeen).has_value());
  writer.OnSequenceFolded(core::Sequence(1));
  CHECK_EQUAL(1U, writer.confirmed_sequence().value());
  CHECK(!writer.has_outstanding());

  CHECK(!writer.NextAppend(At(201ms), kSeen).has_value());
  writer.OnAppended(At(202ms), core::LogOffset(5));
  CHECK_EQUAL(1U, writer.confirmed_sequence().value());
  const v1::Entry next = Parse(writer.NextAppend(At(202ms), kSeen).value());
  CHECK_EQUAL(2U, next.sequence());
  writer.OnSequenceFolded(core::Sequence(1));
  CHECK(writer.has_outstanding());
}

// The log is unavailable for five minutes while records are added. Add()
// reports when the backlog is full; every accepted record is appended after the
// outage, in order and exactly once.
TEST(Writer, an_outage_of_minutes_fills_the_backlog_but_loses_nothing) {
  constexpr core::Duration kOutageEnd = 5min;
  WriterOptions options;
  options.max_backlog_records = 200;
  options.max_entry_records = 30;
  FakeLog log;
  Writer writer = MakeWriter(options);
  uint64_t taken = 0;
  uint64_t refused = 0;
  for (core::Duration now{}; now < kOutageEnd + 10s; now += 10ms) {
    const bool offers = now < kOutageEnd && now % 500ms == 0us;
    if (offers) {
      const core::Status added =
          writer.Add(Confirmation(taken + 1), Urgency::kRoutine);
      taken += core::IsOk(added) ? 1 : 0;
      refused += core::IsOk(added) ? 0 : 1;
      CHECK(core::IsOk(added) ||
            core::Failure(added).id == core::ErrorId::kBacklogFull);
    }
    const std::optional<std::string> append = writer.NextAppend(At(now), kSeen);
    if (!append) {
      continue;
    }
    if (now < kOutageEnd) {
      writer.OnFailed(At(now));
    } else {
      writer.OnAppended(At(now), log.Append(*append));
    }
  }
  CHECK_EQUAL(200U, taken);
  CHECK_EQUAL(400U, refused);
  CHECK_EQUAL(0U, writer.backlog_records());
  CHECK_EQUAL(0, writer.backlog_bytes().value());
  CHECK(log.FoldedVersions() == UpTo(taken));
}

TEST(Writer, the_backlog_is_bounded_by_bytes_too) {
  WriterOptions options;
  options.max_backlog_bytes =
      core::Bytes(static_cast<int64_t>(Confirmation(1).ByteSizeLong()) * 2);
  Writer writer = MakeWriter(options);
  AddOk(writer, 1, Urgency::kRoutine);
  AddOk(writer, 2, Urgency::kRoutine);
  const core::Status third = writer.Add(Confirmation(3), Urgency::kRoutine);
  CHECK(core::Failure(third).id == core::ErrorId::kBacklogFull);
  CHECK_EQUAL(2U, writer.backlog_records());
}

// Each append takes three seconds. The log counts as unavailable while one is
// outstanding for too long and as available after the reply; records added in
// between share the next append.
TEST(Writer, a_slow_log_counts_as_unavailable_until_its_reply_comes) {
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kUrgent);
  CHECK(writer.NextAppend(At(0s), kSeen).has_value());
  AddOk(writer, 2, Urgency::kUrgent);
  AddOk(writer, 3, Urgency::kRoutine);
  CHECK(!writer.LogIsUnavailable(At(1'999ms)));
  CHECK(writer.LogIsUnavailable(At(2s)));
  CHECK(writer.OutstandingAge(At(2s)) == core::Duration(2s));
  CHECK(!writer.NextAppend(At(2'900ms), kSeen).has_value());
  writer.OnAppended(At(3s), core::LogOffset(0));
  CHECK(!writer.LogIsUnavailable(At(3s)));
  const v1::Entry entry = Parse(writer.NextAppend(At(3s), kSeen).value());
  CHECK_EQUAL(2, entry.records_size());
}

// Urgent records are added every millisecond, so the batch interval never
// delays an append. Seven such routers must not use up the capacity of the log.
TEST(Writer, urgent_records_stay_within_the_bound_of_appends_per_second) {
  constexpr core::Duration kRun = 60s;
  FakeLog log;
  Writer writer = MakeWriter();
  uint64_t version = 0;
  for (core::Duration now{}; now < kRun; now += 1ms) {
    ++version;
    AddOk(writer, version, Urgency::kUrgent);
    const auto append = writer.NextAppend(At(now), kSeen);
    if (append) {
      writer.OnAppended(At(now), log.Append(*append));
    }
  }
  CHECK(log.end() <= 20 + 60 * 10);
  CHECK(log.end() >= 60 * 10);
  CHECK_EQUAL(log.end(), writer.sends());
}

TEST(Writer, repeats_back_off_up_to_the_longest_delay) {
  Writer writer = MakeWriter();
  AddOk(writer, 1, Urgency::kUrgent);
  uint64_t sends_in_last_minute = 0;
  for (core::Duration now{}; now < 2min; now += 10ms) {
    if (!writer.NextAppend(At(now), kSeen)) {
      continue;
    }
    writer.OnFailed(At(now));
    sends_in_last_minute += now >= 1min ? 1 : 0;
  }
  CHECK_EQUAL(60U, sends_in_last_minute);
}
