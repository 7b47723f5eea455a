#include "coppervalve/entry/crash_record.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

RequestContent Content(std::string_view body, const char* account = "gate") {
  return {"POST", "/chat/x", core::AccountId(account), body};
}

RequestFingerprint Fingerprint(std::string_view body = "a prompt") {
  return FingerprintOf(Content(body));
}

UpstreamStart Start(uint64_t number) {
  return UpstreamStart(number);
}

/// @brief Records a termination that the router learns of at once.
void TerminateUnder(CrashRecord& record,
                    const RequestFingerprint& request,
                    uint64_t start,
                    double seconds) {
  record.OnBroken(request, Start(start), At(seconds));
  record.OnTerminated(Start(start), At(seconds));
}

RequestFingerprint Part(const char* id) {
  return FingerprintOfPart(core::ServiceId("engines"), id);
}

/// @brief A request like no other but for the parts of its prompt.
RequestTraits WithParts(const std::string& body,
                        const std::vector<const char*>& ids) {
  RequestTraits request(Fingerprint(body));
  for (const char* id : ids) {
    request.parts.push_back(Part(id));
  }
  return request;
}

/// @brief Upstreams terminate two seconds apart, each under another request
/// with these parts.
void TerminateUnderParts(CrashRecord& record,
                         const std::vector<const char*>& ids,
                         uint64_t terminations,
                         core::Duration writing = core::Duration::zero()) {
  for (uint64_t start = 1; start <= terminations; ++start) {
    const double seconds = static_cast<double>(start) * 2;
    record.OnBroken(WithParts("own " + std::to_string(start), ids),
                    Start(start), At(seconds), writing);
    record.OnTerminated(Start(start), At(seconds));
  }
}

v1::RouterBeat BeatOf(const CrashRecord& record, double seconds) {
  v1::RouterBeat beat;
  record.AddReportsTo(beat, At(seconds));
  return beat;
}

}  // namespace

// clang-format off
TEST_GROUP(CrashRecord) {
  CrashRecord record{{}};
  CrashRecord other{{}};
  CrashRecord third{{}};
  void ExchangeBeats(double seconds) {
    const v1::RouterBeat first = BeatOf(record, seconds);
    const v1::RouterBeat second = BeatOf(other, seconds);
    record.OnHeartbeat(second, At(seconds));
    other.OnHeartbeat(first, At(seconds));
    third.OnHeartbeat(first, At(seconds));
    third.OnHeartbeat(second, At(seconds));
  }
};
// clang-format on

TEST(CrashRecord,
     a_request_that_crashed_three_upstreams_is_quarantined_everywhere) {
  // Each router saw one or two terminations; only all of them together are
  // sufficient.
  TerminateUnder(record, Fingerprint(), 1, 1);
  TerminateUnder(other, Fingerprint(), 2, 3);
  ExchangeBeats(3.5);
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kSuspect);
  TerminateUnder(record, Fingerprint(), 3, 5);
  CHECK(record.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  ExchangeBeats(5.5);
  CHECK(other.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  CHECK(third.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  CHECK_EQUAL(599, third.RemainingQuarantine(Fingerprint(), At(6.5)).count() /
                       1'000'000);
}

TEST(CrashRecord, a_different_body_or_account_is_a_different_request) {
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   static_cast<double>(start) * 2);
  }
  CHECK(record.MayContain(QuickHashOf(Content("a prompt"))));
  CHECK(record.QuarantineStateOf(Fingerprint("another one")) ==
        QuarantineState::kClear);
  const RequestContent of_another = Content("a prompt", "desk");
  CHECK(record.QuarantineStateOf(FingerprintOf(of_another)) ==
        QuarantineState::kClear);
}

TEST(CrashRecord, a_broken_connection_is_no_termination) {
  for (uint64_t start = 1; start <= 9; ++start) {
    record.OnBroken(Fingerprint(), Start(start),
                    At(static_cast<double>(start)));
  }
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
}

TEST(CrashRecord, a_termination_counts_only_if_it_is_known_in_time) {
  record.OnBroken(Fingerprint(), Start(1), At(1));
  CHECK_EQUAL(1, record.OnTerminated(Start(1), At(5)).size());
  record.OnBroken(Fingerprint(), Start(2), At(6));
  CHECK_EQUAL(0, record.OnTerminated(Start(2), At(20)).size());
}

TEST(CrashRecord, terminations_of_one_event_quarantine_nothing) {
  // A rack with four upstreams fails while a popular request runs at each of
  // them. The rack caused the terminations, not the request.
  for (uint64_t start = 1; start <= 4; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   1 + 0.1 * static_cast<double>(start));
  }
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kSuspect);
}

TEST(CrashRecord, a_completed_run_clears_the_request_everywhere) {
  // Upstreams crash repeatedly, each time while running requests of the same
  // content. One completed run shows that the content isn't the cause.
  TerminateUnder(record, Fingerprint(), 1, 1);
  TerminateUnder(record, Fingerprint(), 2, 3);
  ExchangeBeats(3.5);
  CHECK(other.OnSurvived(Fingerprint(), At(4)));
  ExchangeBeats(4.5);
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
  CHECK(third.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
  TerminateUnder(record, Fingerprint(), 3, 6);
  ExchangeBeats(6.5);
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
  CHECK(other.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
}

TEST(CrashRecord, a_completed_run_clears_a_quarantined_request) {
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   static_cast<double>(start) * 2);
  }
  ExchangeBeats(6.5);
  other.OnSurvived(Fingerprint(), At(7));
  ExchangeBeats(7.5);
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
  CHECK(third.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
}

TEST(CrashRecord, a_report_read_again_adds_nothing) {
  TerminateUnder(record, Fingerprint(), 1, 1);
  for (int repeat = 0; repeat < 20; ++repeat) {
    ExchangeBeats(1.5 + repeat * 0.5);
  }
  CHECK(other.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
}

TEST(CrashRecord, a_quarantine_outlasts_a_restart_of_all_routers) {
  // All routers lose power. Without their last heartbeats from the store, the
  // request would crash three more upstreams after each power loss.
  TerminateUnder(record, Fingerprint(), 1, 1);
  TerminateUnder(other, Fingerprint(), 2, 3);
  TerminateUnder(record, Fingerprint(), 3, 5);
  ExchangeBeats(5.5);
  const v1::RouterBeat first = BeatOf(record, 60);
  const v1::RouterBeat second = BeatOf(other, 60);
  CrashRecord started{{}};
  started.RestoreOwnReports(first, At(100));
  started.OnHeartbeat(second, At(100));
  CHECK(started.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  CHECK_EQUAL(1, BeatOf(started, 200).crashes_size());
}

TEST(CrashRecord, after_quarantine_one_more_termination_doubles_it) {
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   static_cast<double>(start) * 2);
  }
  record.Advance(At(605));
  CHECK(record.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  record.Advance(At(607));
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kSuspect);
  TerminateUnder(record, Fingerprint(), 4, 610);
  CHECK(record.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  CHECK_EQUAL(
      1'200,
      record.RemainingQuarantine(Fingerprint(), At(610)).count() / 1'000'000);
}

TEST(CrashRecord, a_fixed_request_is_served_again_after_quarantine) {
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   static_cast<double>(start) * 2);
  }
  record.Advance(At(607));
  record.OnSurvived(Fingerprint(), At(608));
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
}

TEST(CrashRecord, only_one_trial_runs_at_a_time) {
  CHECK(record.BeginTrial(Fingerprint()));
  CHECK_FALSE(record.BeginTrial(Fingerprint()));
  CHECK(record.BeginTrial(Fingerprint("another one")));
  record.EndTrial(Fingerprint());
  CHECK(record.BeginTrial(Fingerprint()));
}

TEST(CrashRecord, suspicion_expires) {
  TerminateUnder(record, Fingerprint(), 1, 1);
  TerminateUnder(record, Fingerprint(), 2, 3);
  record.Advance(At(64));
  CHECK(record.QuarantineStateOf(Fingerprint()) == QuarantineState::kClear);
  CHECK_FALSE(record.MayContain(Fingerprint().quick_hash));
}

TEST(CrashRecord, thousands_of_such_requests_use_bounded_memory) {
  // The quarantined request is kept; of the others the oldest are dropped.
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   static_cast<double>(start) * 2);
  }
  for (uint64_t i = 0; i < 5'000; ++i) {
    TerminateUnder(record, Fingerprint(std::string(100 + i, 'x')), 10 + i,
                   10 + static_cast<double>(i) * 0.001);
  }
  CHECK(record.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  CHECK_FALSE(record.MayContain(Fingerprint(std::string(101, 'x')).quick_hash));
  CHECK(record.MayContain(Fingerprint(std::string(5'099, 'x')).quick_hash));
  CHECK(BeatOf(record, 15).crashes_size() <= 64);
  CHECK(BeatOf(record, 15).ByteSizeLong() < 4'096);
}

TEST(CrashRecord, requests_with_more_terminations_are_reported_first) {
  // Each upstream terminates under dozens of requests, far more than a
  // heartbeat has room for. The one that is present each time must be among
  // those reported, whatever its hash.
  for (uint64_t end = 0; end < 10; ++end) {
    const double seconds = 1 + static_cast<double>(end);
    for (int i = 0; i < 40; ++i) {
      const std::string own = std::to_string(end) + " " + std::to_string(i);
      record.OnBroken(Fingerprint(own), Start(end), At(seconds));
    }
    const std::string cause = "cause " + std::to_string(end / 2);
    record.OnBroken(Fingerprint(cause), Start(end), At(seconds));
    record.OnTerminated(Start(end), At(seconds));
  }
  other.OnHeartbeat(BeatOf(record, 11), At(11));
  for (int i = 0; i < 5; ++i) {
    const RequestFingerprint cause = Fingerprint("cause " + std::to_string(i));
    CHECK(other.QuarantineStateOf(cause) == QuarantineState::kSuspect);
  }
}

TEST(CrashRecord, false_reports_are_truncated_to_the_maximum_sizes) {
  v1::RouterBeat beat;
  for (int request = 0; request < 10'000; ++request) {
    v1::CrashCase* told = beat.add_crashes();
    told->set_request(
        Fingerprint("false " + std::to_string(request)).ToBytes());
    for (uint64_t start = 0; start < 40; ++start) {
      told->add_ended(start);
    }
  }
  record.OnHeartbeat(beat, At(1));
  CHECK(record.QuarantineStateOf(Fingerprint("false 63")) ==
        QuarantineState::kSuspect);
  CHECK(record.QuarantineStateOf(Fingerprint("false 64")) ==
        QuarantineState::kClear);
}

TEST(CrashRecord, corrupted_reports_do_no_harm) {
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), start,
                   static_cast<double>(start) * 2);
  }
  const std::string whole = BeatOf(record, 7).SerializeAsString();
  std::mt19937 random(7);
  for (int round = 0; round < 20'000; ++round) {
    std::string damaged = whole;
    damaged[random() % damaged.size()] = static_cast<char>(random());
    damaged.resize(1 + random() % damaged.size());
    v1::RouterBeat beat;
    if (beat.ParseFromString(damaged)) {
      other.OnHeartbeat(beat, At(8));
    }
  }
  CHECK(other.quarantined() <= 2'048);
}

TEST(CrashRecord, a_part_that_crashed_upstreams_is_quarantined_everywhere) {
  TerminateUnderParts(record, {"bad"}, 3);
  other.OnHeartbeat(BeatOf(record, 7), At(7));
  CHECK(other.QuarantineStateOf(Part("bad")) == QuarantineState::kWatched);
  other.OnBroken(WithParts("one more", {"bad"}), Start(9), At(8));
  other.OnTerminated(Start(9), At(8));
  ExchangeBeats(8.5);
  for (const CrashRecord* one : {&record, &other, &third}) {
    const Suspicion worst = one->Assess(WithParts("new", {"good", "bad"}));
    CHECK(worst.state == QuarantineState::kQuarantined);
    CHECK(worst.part);
    CHECK(worst.trait == Part("bad"));
    CHECK_EQUAL(1, one->quarantined_parts());
    CHECK_EQUAL(0, one->quarantined());
  }
}

TEST(CrashRecord, a_part_is_only_suspected_while_crashes_are_common) {
  // Six of ten runs end in a crash, so that most parts are at many of them.
  for (uint64_t i = 0; i < 60; ++i) {
    const std::string own = std::to_string(i);
    record.OnBroken(WithParts(own, {own.c_str()}), Start(100 + i), At(1));
    record.OnTerminated(Start(100 + i), At(1));
  }
  TerminateUnderParts(record, {"rare"}, 4);
  CHECK(record.QuarantineStateOf(Part("rare")) == QuarantineState::kWatched);
}

TEST(CrashRecord, a_completed_run_clears_its_parts_everywhere) {
  TerminateUnderParts(record, {"system", "bad"}, 4);
  ExchangeBeats(8.5);
  CHECK(other.QuarantineStateOf(Part("system")) ==
        QuarantineState::kQuarantined);
  CHECK(other.OnSurvived(WithParts("sound", {"system"}), At(9)));
  ExchangeBeats(9.5);
  for (const CrashRecord* one : {&record, &other, &third}) {
    CHECK(one->QuarantineStateOf(Part("system")) == QuarantineState::kClear);
    CHECK(one->QuarantineStateOf(Part("bad")) == QuarantineState::kQuarantined);
  }
}

TEST(CrashRecord, a_part_that_was_completed_lately_is_not_suspected) {
  record.OnCompleted({Part("system").quick_hash}, At(1));
  record.OnBroken(WithParts("own", {"system", "bad"}), Start(1), At(2));
  record.OnTerminated(Start(1), At(2));
  CHECK_FALSE(record.MayContain(Part("system").quick_hash));
  CHECK(record.MayContain(Part("bad").quick_hash));
}

TEST(CrashRecord, a_stream_that_was_written_for_long_is_no_evidence) {
  TerminateUnderParts(record, {"long"}, 9, core::Duration(1'500'000));
  CHECK_FALSE(record.MayContain(Part("long").quick_hash));
}

TEST(CrashRecord, one_request_sent_again_and_again_does_not_blame_its_parts) {
  // The request holds something of its own that crashes upstreams. Others quote
  // the same document.
  for (uint64_t start = 1; start <= 9; ++start) {
    const double seconds = static_cast<double>(start) * 2;
    record.OnBroken(WithParts("the same", {"document"}), Start(start),
                    At(seconds));
    record.OnTerminated(Start(start), At(seconds));
  }
  CHECK(record.QuarantineStateOf(Fingerprint("the same")) ==
        QuarantineState::kQuarantined);
  CHECK(record.Assess(WithParts("another", {"document"})).state ==
        QuarantineState::kClear);
}

TEST(CrashRecord, crashes_by_a_quarantined_part_are_held_against_nothing_else) {
  TerminateUnderParts(record, {"bad"}, 4);
  for (uint64_t start = 11; start <= 14; ++start) {
    const double seconds = static_cast<double>(start);
    record.OnBroken(WithParts("late " + std::to_string(start), {"bad"}),
                    Start(start), At(seconds));
    record.OnBroken(WithParts("bystander", {"document"}), Start(start),
                    At(seconds));
    record.OnTerminated(Start(start), At(seconds));
  }
  CHECK(record.Assess(WithParts("bystander", {"document"})).state ==
        QuarantineState::kClear);
}

TEST(CrashRecord, earlier_crashes_are_explained_once_their_cause_is_known) {
  for (uint64_t start = 1; start <= 6; ++start) {
    const double seconds = static_cast<double>(start) * 2;
    record.OnBroken(WithParts("own " + std::to_string(start), {"bad"}),
                    Start(start), At(seconds));
    if (start < 3) {
      record.OnBroken(WithParts("bystander", {"document"}), Start(start),
                      At(seconds));
    }
    record.OnTerminated(Start(start), At(seconds));
  }
  CHECK(record.QuarantineStateOf(Part("bad")) == QuarantineState::kQuarantined);
  CHECK(record.Assess(WithParts("bystander", {"document"})).state ==
        QuarantineState::kClear);
}

TEST(CrashRecord, a_quarantined_part_outlasts_a_restart_of_all_routers) {
  // One router needed three terminations, as crashes were rare there. After the
  // restart no router knows how rare they were.
  for (int run = 0; run < 200; ++run) {
    record.OnCompleted({1}, At(1));
  }
  TerminateUnderParts(record, {"bad"}, 3);
  CHECK(record.QuarantineStateOf(Part("bad")) == QuarantineState::kQuarantined);
  const v1::RouterBeat last = BeatOf(record, 60);
  CrashRecord started{{}};
  started.RestoreOwnReports(last, At(100));
  other.OnHeartbeat(last, At(100));
  CHECK(started.QuarantineStateOf(Part("bad")) ==
        QuarantineState::kQuarantined);
  CHECK(other.QuarantineStateOf(Part("bad")) == QuarantineState::kQuarantined);
}

TEST(CrashRecord, a_prompt_of_thousands_of_parts_uses_bounded_memory) {
  for (uint64_t start = 1; start <= 9; ++start) {
    RequestTraits request(Fingerprint("own " + std::to_string(start)));
    for (int part = 0; part < 3'000; ++part) {
      request.parts.push_back(Part(std::to_string(part).c_str()));
    }
    record.OnBroken(request, Start(start), At(static_cast<double>(start)));
    record.OnTerminated(Start(start), At(static_cast<double>(start)));
  }
  CHECK(record.MayContain(Part("0").quick_hash));
  CHECK_FALSE(record.MayContain(Part("2999").quick_hash));
  CHECK(BeatOf(record, 10).ByteSizeLong() < 8'192);
}

TEST(CrashRecord, verdicts_tell_what_is_refused_and_what_no_longer_is) {
  // A standby of a large fleet reads no heartbeats.
  for (uint64_t start = 1; start <= 3; ++start) {
    TerminateUnder(record, Fingerprint(), 20 + start,
                   static_cast<double>(start) * 2);
  }
  TerminateUnderParts(record, {"bad"}, 4);
  other.OnVerdicts(record.Verdicts(At(9)), At(9));
  CHECK(other.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
  CHECK(other.QuarantineStateOf(Part("bad")) == QuarantineState::kQuarantined);
  record.OnSurvived(WithParts("sound", {"bad"}), At(10));
  other.OnVerdicts(record.Verdicts(At(11)), At(11));
  CHECK(other.QuarantineStateOf(Part("bad")) == QuarantineState::kClear);
  CHECK(other.QuarantineStateOf(Fingerprint()) ==
        QuarantineState::kQuarantined);
}

TEST(CrashRecord, parts_with_the_same_evidence_are_told_apart_by_a_trial) {
  // At night no other request quotes the first part of the crashing ones.
  TerminateUnderParts(record, {"system", "bad"}, 4);
  CHECK(record.Assess(WithParts("new", {"system", "bad"})).state ==
        QuarantineState::kQuarantined);
  const Suspicion alone = record.Assess(WithParts("new", {"system", "good"}));
  CHECK(alone.state == QuarantineState::kSuspect);
  CHECK(alone.any_router);
  record.OnSurvived(WithParts("new", {"system", "good"}), At(10));
  CHECK(record.Assess(WithParts("new", {"system"})).state ==
        QuarantineState::kClear);
  CHECK(record.Assess(WithParts("new", {"bad"})).state ==
        QuarantineState::kQuarantined);
}

TEST(CrashRecord, a_trial_that_crashes_an_upstream_clears_the_other_parts) {
  TerminateUnderParts(record, {"system", "bad"}, 4);
  record.OnBroken(WithParts("trial", {"bad"}), Start(9), At(10));
  record.OnTerminated(Start(9), At(10));
  CHECK(record.Assess(WithParts("new", {"system"})).state ==
        QuarantineState::kClear);
  CHECK(record.Assess(WithParts("new", {"bad"})).state ==
        QuarantineState::kQuarantined);
}

TEST(CrashRecord, of_parts_that_came_together_the_one_at_more_crashes_is_it) {
  // Fewer terminations would do for the first part, as they are this router's
  // own.
  record.OnBroken(WithParts("own 9", {"bad"}), Start(9), At(1));
  record.OnTerminated(Start(9), At(1));
  TerminateUnderParts(record, {"system", "bad"}, 4);
  CHECK(record.Assess(WithParts("new", {"system"})).state ==
        QuarantineState::kClear);
  CHECK(record.Assess(WithParts("new", {"bad"})).state ==
        QuarantineState::kQuarantined);
}
