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
  CHECK(IsCall(plan.OnFailure(0.5, At(1.2), At(3)),
               ReadStep::Call::kFirstNewestPage));
  CHECK(IsCall(plan.OnFailure(0.5, At(4), At(5)), ReadStep::Call::kRepeatPage));
}

TEST(ReadPlan, heartbeats_are_read_in_order_after_a_silence) {
  // A claim is granted when its own record is read in log order.
  ReadPlan beats{HeartbeatPlan()};
  beats.OnNewest(100, 1'000, At(0));
  CHECK(IsCall(beats.OnFailure(0.5, At(8), At(9)), ReadStep::Call::kRecords));
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
