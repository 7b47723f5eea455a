#include <CppUTest/TestHarness.h>

#include <memory>  // make_shared
#include <string>  // string

#include "coppervalve/net/answer_reader.h"
#include "coppervalve/net/answer_store.h"
#include "coppervalve/net/model_json.h"
#include "coppervalve/net/sse_reader.h"

using namespace coppervalve;
using namespace coppervalve::net;

namespace {

void Nothing() {}

}  // namespace

// clang-format off
TEST_GROUP(Answer){};
// clang-format on

TEST(Answer, each_reader_reads_a_stored_answer_from_its_beginning) {
  auto answer = std::make_shared<Answer>(100);
  AnswerReader first(answer, Nothing);
  answer->Start({200, {{"a", "b"}}}, true);
  answer->Append("hello");
  STRCMP_EQUAL("hel", first.Next(3).bytes.c_str());
  AnswerReader second(answer, Nothing);
  answer->Finish();
  const Answer::Piece all = second.Next(100);
  STRCMP_EQUAL("hello", all.bytes.c_str());
  CHECK(all.head.has_value());
  CHECK(all.state == Answer::State::kComplete);
  STRCMP_EQUAL("lo", first.Next(100).bytes.c_str());
}

TEST(Answer, the_end_is_reported_only_with_the_last_byte) {
  auto answer = std::make_shared<Answer>(100);
  AnswerReader reader(answer, Nothing);
  answer->Start({}, true);
  answer->Append("hello");
  answer->Finish();
  CHECK(reader.Next(3).state == Answer::State::kOpen);
  CHECK(reader.Next(3).state == Answer::State::kComplete);
}

TEST(Answer, an_answer_above_its_limit_is_relayed_but_cannot_be_joined) {
  // Half of an answer, given to a later caller, would look like a complete one.
  auto answer = std::make_shared<Answer>(4);
  AnswerReader reader(answer, Nothing);
  answer->Start({}, true);
  answer->Append("hello");
  STRCMP_EQUAL("hello", reader.Next(100).bytes.c_str());
  LONGS_EQUAL(0, answer->BufferedBytes());
  AnswerReader late(answer, Nothing);
  const Answer::Piece piece = late.Next(100);
  CHECK(piece.state == Answer::State::kFailed);
  CHECK(piece.refusal->error.id == core::ErrorId::kAnswerExpired);
}

TEST(Answer, an_answer_that_has_ended_cannot_be_changed) {
  // A late answer of an abandoned attempt must not reach the caller.
  auto answer = std::make_shared<Answer>(100);
  AnswerReader reader(answer, Nothing);
  answer->Fail(RefusalOf({core::ErrorId::kOutcomeUnknown, "", ""}));
  answer->Start({}, false);
  answer->Append("late");
  answer->Finish();
  const Answer::Piece piece = reader.Next(100);
  CHECK(piece.state == Answer::State::kFailed);
  CHECK(piece.bytes.empty());
  CHECK_FALSE(piece.started);
}

TEST(Answer, the_store_keeps_no_more_than_its_limit) {
  AnswerStore store(10, 10);
  const auto first = store.Create(core::RequestId(1), true);
  first->Append("0123456789");
  const auto second = store.Create(core::RequestId(2), true);
  AnswerReader reader(second, Nothing);
  second->Start({}, true);
  second->Append("abc");
  reader.Next(100);
  LONGS_EQUAL(10, store.BufferedBytes());
  store.Remove(core::RequestId(1));
  CHECK(store.Find(core::RequestId(1)) == nullptr);
  LONGS_EQUAL(0, store.BufferedBytes());
}

TEST(Answer, an_event_above_the_size_limit_is_an_error) {
  SseReader reader(16);
  const auto ignore = [](const SseEvent&) { return core::Ok(); };
  CHECK(core::IsOk(reader.Feed("data: ok\n\n", ignore)));
  const core::Status status = reader.Feed("data: 0123456789012345", ignore);
  CHECK(!core::IsOk(status));
}

TEST(Answer, usage_with_a_negative_count_is_ignored) {
  // A negative count would credit tokens to the budget.
  const auto answer = ReadModelAnswer(
      R"({"choices":[1],"usage":{"prompt_tokens":5,"completion_tokens":-9}})");
  CHECK(core::IsOk(answer));
  CHECK_FALSE(core::Value(answer).usage.has_value());
}
