#include "coppervalve/entry/read_plan.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // max
#include <optional>   // nullopt

#include "coppervalve/entry/call_patience.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr core::Duration kPause{300'000};

bool Asks(const ReadStep& step, ReadStep::Call call) {
  return step.call == call;
}

}  // namespace

// clang-format off
TEST_GROUP(ReadPlan) {
  ReadPlan plan{UpstreamPlan()};
  void setup() override { plan.OnNewest(100, 1'000, At(0)); }
};
// clang-format on

TEST(ReadPlan, reads_on_after_a_pause_while_it_keeps_up) {
  const ReadStep step = plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(Asks(step, ReadStep::Call::kRecords));
  CHECK(step.pausing);
  CHECK(kPause == step.delay);
  CHECK_EQUAL(1'020, plan.next());
}

TEST(ReadPlan, reads_on_at_once_when_nothing_came) {
  const ReadStep step = plan.OnBatch(true, 1'000, 1'000, kPause, At(1));
  CHECK(Asks(step, ReadStep::Call::kRecords));
  CHECK(core::Duration::zero() == step.delay);
}

TEST(ReadPlan, reads_the_rest_at_once_when_a_read_did_not_hold_all) {
  const ReadStep step = plan.OnBatch(false, 1'020, 1'050, kPause, At(1));
  CHECK(Asks(step, ReadStep::Call::kRecords));
  CHECK(core::Duration::zero() == step.delay);
}

TEST(ReadPlan, takes_the_newest_when_more_is_missed_than_there_are_keys) {
  const ReadStep step = plan.OnBatch(false, 1'020, 1'500, kPause, At(1));
  CHECK(Asks(step, ReadStep::Call::kFirstPage));
}

TEST(ReadPlan, a_record_that_no_read_holds_is_not_asked_for_without_an_end) {
  const ReadStep step = plan.OnBatch(true, 1'000, 1'001, kPause, At(1));
  CHECK(Asks(step, ReadStep::Call::kFirstPage));
}

TEST(ReadPlan, a_refusal_is_followed_by_the_same_call) {
  plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(Asks(plan.OnFailure(0.5, At(1.4), At(1.4)), ReadStep::Call::kRecords));
}

TEST(ReadPlan, after_silence_what_was_missed_is_not_read_one_by_one) {
  plan.OnBatch(false, 1'020, 1'020, kPause, At(1));
  CHECK(Asks(plan.OnFailure(0.5, At(1.2), At(3)), ReadStep::Call::kFirstPage));
  CHECK(Asks(plan.OnFailure(0.5, At(4), At(5)), ReadStep::Call::kSamePage));
}

TEST(ReadPlan, beats_are_read_in_order_after_silence) {
  // A claim of this router is granted when its own record comes back.
  ReadPlan beats{BeatPlan()};
  beats.OnNewest(100, 1'000, At(0));
  CHECK(Asks(beats.OnFailure(0.5, At(8), At(9)), ReadStep::Call::kRecords));
}

TEST(ReadPlan, waits_longer_after_each_refusal_and_never_without_a_bound) {
  core::Duration last{};
  for (int i = 0; i < 10; ++i) {
    const ReadStep step = plan.OnFailure(0, At(1), At(1));
    CHECK(step.delay >= last);
    last = step.delay;
  }
  CHECK(last <= core::Duration(400'000));
}

TEST(ReadPlan, after_a_call_without_an_answer_the_next_one_is_soon) {
  // A cut ends, and callers are refused until the longest pause is over.
  core::Duration longest{};
  for (int i = 0; i < 10; ++i) {
    longest = std::max(longest, plan.OnFailure(0.9, At(i), At(i + 0.4)).delay);
  }
  CHECK(longest <= core::Duration(200'000));
}

TEST(ReadPlan, an_answer_that_is_coming_is_waited_for_and_a_silent_one_is_not) {
  const CallPatience patience{
      core::Duration(400'000), core::Duration(1'000'000),
      core::Duration(800'000), core::Duration(6'000'000)};
  CHECK(At(0.4) == patience.GiveUpAt({At(0), false, std::nullopt}));
  CHECK(At(1) == patience.GiveUpAt({At(0), true, std::nullopt}));
  CHECK(At(3.3) == patience.GiveUpAt({At(0), true, At(2.5)}));
  CHECK(At(6) == patience.GiveUpAt({At(0), true, At(5.9)}));
}
