#include "coppervalve/entry/read_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // max
#include <optional>   // nullopt

#include "coppervalve/entry/call_timeouts.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr core::Duration kPause{300'000};

bool IsCall(const ReadStep& step, ReadStep::Call call) {
  return step.call == call;
}

}  // namespace

// clang-format off
TEST_GROUP(ReadPlan) {
  ReadPlan plan{UpstreamPlan()};
  void setup() override { plan.OnNewest(100, 1'000, At(0)); }
};
// clang-format on

TEST(ReadPlan, continues_after_a_pause_while_it_keeps_up) {
  const ReadStep step = plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(IsCall(step, ReadStep::Call::kRecords));
  CHECK(step.interruptible);
  CHECK(kPause == step.delay);
  CHECK_EQUAL(1'020, plan.next());
}

TEST(ReadPlan, continues_at_once_after_an_empty_batch) {
  const ReadStep step = plan.OnBatch(true, 1'000, 1'000, kPause, At(1));
  CHECK(IsCall(step, ReadStep::Call::kRecords));
  CHECK(core::Duration::zero() == step.delay);
}

TEST(ReadPlan, continues_at_once_after_a_partial_batch) {
  const ReadStep step = plan.OnBatch(false, 1'020, 1'050, kPause, At(1));
  CHECK(IsCall(step, ReadStep::Call::kRecords));
  CHECK(core::Duration::zero() == step.delay);
}

TEST(ReadPlan, reads_the_newest_records_if_it_missed_more_than_there_are_keys) {
  const ReadStep step = plan.OnBatch(false, 1'020, 1'500, kPause, At(1));
  CHECK(IsCall(step, ReadStep::Call::kFirstNewestPage));
}

TEST(ReadPlan, a_record_larger_than_a_read_is_not_requested_forever) {
  const ReadStep step = plan.OnBatch(true, 1'000, 1'001, kPause, At(1));
  CHECK(IsCall(step, ReadStep::Call::kFirstNewestPage));
}

TEST(ReadPlan, a_refused_call_is_repeated) {
  plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(
      IsCall(plan.OnFailure(0.5, At(1.4), At(1.4)), ReadStep::Call::kRecords));
}

TEST(ReadPlan, reads_the_newest_records_after_a_long_silence) {
  plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(IsCall(plan.OnFailure(0.5, At(1.2), At(3)), ReadStep::Call::kPeek));
  CHECK(IsCall(plan.OnFailure(0.5, At(3.1), At(3.9)), ReadStep::Call::kPeek));
  CHECK(IsCall(plan.OnPeek(1'020, At(4)), ReadStep::Call::kFirstNewestPage));
  CHECK(IsCall(plan.OnFailure(0.5, At(4), At(5)), ReadStep::Call::kPeek));
  CHECK(IsCall(plan.OnPeek(1'020, At(5.1)), ReadStep::Call::kRepeatPage));
}

TEST(ReadPlan, reads_the_newest_records_if_calls_were_refused_for_long) {
  plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(IsCall(plan.OnFailure(0.5, At(2.99), At(3)),
               ReadStep::Call::kFirstNewestPage));
  CHECK(IsCall(plan.OnFailure(0.5, At(4), At(4)), ReadStep::Call::kRepeatPage));
}

TEST(ReadPlan, a_start_in_a_silence_lists_once_the_store_answers) {
  ReadPlan starting{UpstreamPlan()};
  const core::Duration usual = starting.OnOffsetExpired(At(0)).patience;
  for (int i = 0; i < 10; ++i) {
    const ReadStep step = starting.OnFailure(0.5, At(2 * i), At(2 * i + 1));
    CHECK(IsCall(step, ReadStep::Call::kPeek));
    CHECK(step.patience <= usual);
  }
  CHECK(IsCall(starting.OnPeek(1'000, At(21)), ReadStep::Call::kRepeatPage));
}

TEST(ReadPlan, reads_on_after_a_short_silence) {
  plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(IsCall(plan.OnFailure(0.5, At(1), At(1.8)), ReadStep::Call::kPeek));
  const ReadStep step = plan.OnPeek(1'030, At(1.9));
  CHECK(IsCall(step, ReadStep::Call::kRecords));
  CHECK(core::Duration::zero() == step.delay);
  CHECK_EQUAL(1'020, plan.next());
}

TEST(ReadPlan, a_lost_call_does_not_lengthen_the_wait_for_the_next_ones) {
  // Otherwise a reader waits for a call that the store never received, seconds
  // after it answers others again.
  const core::Duration usual = plan.OnFailure(0, At(1), At(2)).patience;
  for (int i = 2; i < 20; ++i) {
    CHECK(usual == plan.OnFailure(0, At(i), At(i + 0.8)).patience);
  }
}

TEST(ReadPlan, a_late_page_gets_more_time_once_the_store_answers) {
  const core::Duration usual = plan.OnOffsetExpired(At(1)).patience;
  plan.OnFailure(0, At(1), At(3));
  const ReadStep second = plan.OnPeek(1'000, At(3.1));
  CHECK(IsCall(second, ReadStep::Call::kRepeatPage));
  CHECK(2 * usual == second.patience);
  plan.OnFailure(0, At(4), At(6));
  CHECK(4 * usual == plan.OnPeek(1'000, At(6.1)).patience);
  plan.OnPage(At(7));
  CHECK(usual == plan.OnOffsetExpired(At(7)).patience);
}

TEST(ReadPlan, heartbeats_are_read_in_order_after_a_silence) {
  // A claim is granted when its own record is read in log order.
  ReadPlan beats{HeartbeatPlan()};
  beats.OnNewest(100, 1'000, At(0));
  CHECK(IsCall(beats.OnFailure(0.5, At(8), At(9)), ReadStep::Call::kPeek));
  CHECK(IsCall(beats.OnPeek(5'000, At(9.1)), ReadStep::Call::kRecords));
  CHECK_EQUAL(1'000, beats.next());
}

TEST(ReadPlan, backoff_grows_with_each_refusal_up_to_a_maximum) {
  core::Duration last{};
  for (int i = 0; i < 10; ++i) {
    const ReadStep step = plan.OnFailure(0, At(1), At(1));
    CHECK(step.delay >= last);
    last = step.delay;
  }
  CHECK(last <= core::Duration(400'000));
}

TEST(ReadPlan, backoff_is_short_after_a_call_without_an_answer) {
  // Otherwise callers are refused after a partition until the longest backoff
  // is over.
  core::Duration longest{};
  for (int i = 0; i < 10; ++i) {
    longest = std::max(longest, plan.OnFailure(0.9, At(i), At(i + 0.4)).delay);
  }
  CHECK(longest <= core::Duration(200'000));
}

TEST(ReadPlan, timeouts_depend_on_the_progress_of_the_call) {
  const CallTimeouts timeouts{
      core::Duration(400'000), core::Duration(1'000'000),
      core::Duration(800'000), core::Duration(6'000'000)};
  CHECK(At(0.4) == timeouts.TimesOutAt({At(0), false, std::nullopt}));
  CHECK(At(1) == timeouts.TimesOutAt({At(0), true, std::nullopt}));
  CHECK(At(3.3) == timeouts.TimesOutAt({At(0), true, At(2.5)}));
  CHECK(At(6) == timeouts.TimesOutAt({At(0), true, At(5.9)}));
}

TEST(ReadPlan, a_late_read_gets_more_time_only_if_many_routers_read) {
  ReadPlan beats{HeartbeatPlan()};
  beats.OnNewest(100, 1'000, At(0));
  const auto after_a_late_read = [&](double at) {
    beats.OnFailure(0, At(at), At(at + 1));
    return beats.OnPeek(1'000, At(at + 1.1)).patience;
  };
  const core::Duration usual = after_a_late_read(1);
  CHECK(usual == after_a_late_read(3));
  beats.SetCrowded(true);
  CHECK(usual < after_a_late_read(5));
  CHECK(usual == beats.OnBatch(false, 1'020, 1'020, kPause, At(7)).patience);
}

TEST(ReadPlan, reads_are_spread_if_the_store_cannot_send_to_all_at_once) {
  constexpr size_t kBytes = 100'000;
  const ReadLoad large{985, 80e6};
  // All readers together use half of the store's bandwidth.
  CHECK(core::Duration(2'462'500) == ReadInterval(large, kBytes));
  const ReadLoad small{7, 80e6};
  CHECK(core::Duration::zero() == ReadInterval(small, kBytes));
  const ReadLoad unknown{985, 0};
  CHECK(core::Duration::zero() == ReadInterval(unknown, kBytes));
}

namespace {

constexpr core::Duration kInterval{3'000'000};

}  // namespace

// clang-format off
TEST_GROUP(SpreadReadPlan) {
  ReadPlan plan{ConfigurationPlan()};
  void setup() override {
    plan.SetSpread(kInterval, 0.5);
    plan.OnNewest(1, 10, At(0));
  }
};
// clang-format on

TEST(SpreadReadPlan, polls_the_end_of_the_log_while_nothing_is_new) {
  const ReadStep step = plan.OnPeek(10, At(1));
  CHECK(IsCall(step, ReadStep::Call::kPeek));
  CHECK(core::Duration(1'000'000) == step.delay);
}

TEST(SpreadReadPlan, reads_one_new_record_at_its_time) {
  const ReadStep waits = plan.OnPeek(11, At(1));
  CHECK(IsCall(waits, ReadStep::Call::kPeek));
  // Half of what remains of the interval after the poll's.
  CHECK(core::Duration(1'000'000) == waits.delay);
  CHECK(IsCall(plan.OnPeek(11, At(2)), ReadStep::Call::kRecords));
}

TEST(SpreadReadPlan, reads_only_the_newest_of_what_was_written_meanwhile) {
  plan.OnPeek(11, At(1));
  CHECK(IsCall(plan.OnPeek(14, At(2)), ReadStep::Call::kFirstNewestPage));
}

TEST(SpreadReadPlan, reads_no_more_often_than_once_in_an_interval) {
  plan.OnPeek(11, At(1));
  plan.OnPeek(11, At(2));
  const ReadStep step = plan.OnBatch(false, 11, 12, kPause, At(2.1));
  CHECK(IsCall(step, ReadStep::Call::kPeek));
  CHECK(core::Duration(2'900'000) == step.delay);
}

TEST(SpreadReadPlan, polls_before_it_repeats_a_failed_read) {
  plan.OnPeek(11, At(1));
  plan.OnPeek(11, At(2));
  CHECK(IsCall(plan.OnFailure(0, At(2), At(3)), ReadStep::Call::kPeek));
  CHECK(IsCall(plan.OnPeek(12, At(3.1)), ReadStep::Call::kPeek));
}

TEST(SpreadReadPlan, a_read_that_was_late_gets_more_time_and_a_poll_does_not) {
  plan.OnPeek(11, At(1));
  const ReadStep first = plan.OnPeek(11, At(2));
  const ReadStep poll = plan.OnFailure(0, At(2), At(3));
  plan.OnPeek(11, At(3.1));
  const ReadStep second = plan.OnPeek(11, At(5));
  CHECK(IsCall(second, ReadStep::Call::kRecords));
  CHECK(first.patience * 2 == second.patience);
  CHECK(poll.patience == first.patience);
}

TEST(SpreadReadPlan, a_topic_that_lost_its_history_is_listed_at_spread_times) {
  const ReadStep step = plan.OnOffsetExpired(At(1));
  CHECK(IsCall(step, ReadStep::Call::kFirstNewestPage));
  CHECK(core::Duration(1'000'000) == step.delay);
}

TEST(SpreadReadPlan, a_record_larger_than_a_read_is_not_requested_forever) {
  plan.OnPeek(11, At(1));
  plan.OnPeek(11, At(2));
  CHECK(IsCall(plan.OnBatch(true, 10, 11, kPause, At(2.1)),
               ReadStep::Call::kFirstNewestPage));
}
