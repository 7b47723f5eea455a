#include <CppUTest/TestHarness.h>

#include <cstdint>  // uint32_t, uint64_t
#include <string>   // string
#include <vector>   // vector

#include "coppervalve/standin/batch_scheduler.h"
#include "coppervalve/standin/fencing_check.h"
#include "coppervalve/standin/prefix_cache.h"
#include "coppervalve/standin/token_text.h"

using namespace coppervalve;           // NOLINT
using namespace coppervalve::standin;  // NOLINT

namespace {

std::string AnswerOf(const std::string& request_id, int64_t tokens) {
  std::string text;
  for (int64_t index = 0; index < tokens; ++index) {
    text += TokenText(request_id, core::Tokens(index), index + 1 == tokens);
  }
  return text;
}

Job MakeJob(uint64_t id, uint32_t priority, int64_t output) {
  return {JobId(id), priority, 1, core::Tokens(output)};
}

std::vector<uint64_t> StartedIn(const std::vector<StepEvent>& events) {
  std::vector<uint64_t> started;
  for (const StepEvent& event : events) {
    if (event.kind == StepEvent::Kind::kStarted) {
      started.push_back(event.job.value());
    }
  }
  return started;
}

}  // namespace

// clang-format off
TEST_GROUP(EngineParts){};
// clang-format on

TEST(EngineParts, tokens_tell_the_request_the_index_and_the_end) {
  STRCMP_EQUAL("r1:0 ", TokenText("r1", core::Tokens(0), false).c_str());
  STRCMP_EQUAL("r1:2.end ", TokenText("r1", core::Tokens(2), true).c_str());
  STRCMP_EQUAL("r1:0 r1:1 r1:2.end ", AnswerOf("r1", 3).c_str());
}

TEST(EngineParts, only_the_whole_answer_of_the_own_request_is_whole) {
  CHECK(IsCompleteAnswer("r1", AnswerOf("r1", 3)));
  CHECK(!IsCompleteAnswer("r2", AnswerOf("r1", 3)));
  CHECK(!IsCompleteAnswer("r1", "r1:0 r1:1 "));
  CHECK(!IsCompleteAnswer("r1", "r1:0 r1:0 r1:1.end "));
  CHECK(!IsCompleteAnswer("r1", "r1:0 r1:2.end "));
  CHECK(!IsCompleteAnswer("r1", "r1:0.end r1:1.end "));
  CHECK(!IsCompleteAnswer("r1", ""));
}

TEST(EngineParts, token_counts_depend_on_the_request_alone) {
  CHECK(PromptTokens(0) == core::Tokens(1));
  CHECK(PromptTokens(4) == core::Tokens(1));
  CHECK(PromptTokens(5) == core::Tokens(2));
  const core::Tokens asked(100);
  CHECK(OutputTokens("r1", asked, false) == asked);
  const core::Tokens stopped = OutputTokens("r1", asked, true);
  CHECK(stopped >= core::Tokens(1));
  CHECK(stopped <= asked);
  CHECK(OutputTokens("r1", asked, true) == stopped);
}

TEST(EngineParts, urgent_jobs_enter_the_batch_before_earlier_ones) {
  BatchScheduler scheduler(1, 3);
  CHECK(scheduler.Submit(MakeJob(1, 2, 1)));
  CHECK(scheduler.Submit(MakeJob(2, 1, 1)));
  CHECK(scheduler.Submit(MakeJob(3, 1, 1)));
  CHECK(scheduler.Submit(MakeJob(4, 0, 1)));
  CHECK(!scheduler.Submit(MakeJob(5, 0, 1)));
  std::vector<uint64_t> order;
  while (!scheduler.IsIdle()) {
    for (const uint64_t id : StartedIn(scheduler.Step())) {
      order.push_back(id);
    }
  }
  CHECK(order == (std::vector<uint64_t>{4, 2, 3, 1}));
}

TEST(EngineParts, a_step_gives_each_job_in_the_batch_one_token) {
  BatchScheduler scheduler(2, 0);
  CHECK(scheduler.Submit(MakeJob(1, 0, 2)));
  CHECK(scheduler.Submit(MakeJob(2, 0, 3)));
  CHECK_EQUAL(2U, StartedIn(scheduler.Step()).size());
  CHECK_EQUAL(2U, scheduler.Step().size());
  const std::vector<StepEvent> third = scheduler.Step();
  CHECK_EQUAL(2U, third.size());
  CHECK(third.front().last);
  CHECK(!third.back().last);
  CHECK_EQUAL(1U, scheduler.running());
  scheduler.Cancel(JobId(2));
  CHECK(scheduler.IsIdle());
}

TEST(EngineParts, the_prefix_cache_forgets_the_least_recently_used) {
  const std::string long_prefix(256, 'a');
  PrefixCache cache(2);
  CHECK(!cache.FindOrInsert(long_prefix + "one"));
  CHECK(cache.FindOrInsert(long_prefix + "two"));
  CHECK(!cache.FindOrInsert("b"));
  CHECK(cache.FindOrInsert(long_prefix));
  CHECK(!cache.FindOrInsert("c"));
  CHECK(!cache.FindOrInsert("b"));
}

TEST(EngineParts, an_older_fencing_number_is_refused_only_when_checked) {
  FencingCheck checking(true);
  CHECK(checking.Admit(core::FencingNumber(7)));
  CHECK(checking.Admit(core::FencingNumber(7)));
  CHECK(!checking.Admit(core::FencingNumber(6)));
  FencingCheck trusting(false);
  CHECK(trusting.Admit(core::FencingNumber(7)));
  CHECK(trusting.Admit(core::FencingNumber(6)));
}
