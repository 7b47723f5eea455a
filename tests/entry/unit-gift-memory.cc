#include "coppervalve/entry/gift_memory.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

v1::TokenAsk AskOf(uint64_t epoch, uint64_t id) {
  v1::TokenAsk ask;
  ask.set_router("router-2");
  ask.set_epoch(epoch);
  ask.set_id(id);
  return ask;
}

}  // namespace

// clang-format off
TEST_GROUP(GiftMemory) {
  GiftMemory memory;
};
// clang-format on

TEST(GiftMemory, a_repeated_request_gets_the_same_reply) {
  memory.Remember(AskOf(1, 7), core::Tokens(500), At(0));
  CHECK_EQUAL(500, memory.Answered(AskOf(1, 7))->value());
  CHECK_FALSE(memory.Answered(AskOf(2, 7)).has_value());
  CHECK_FALSE(memory.Answered(AskOf(1, 8)).has_value());
}

TEST(GiftMemory, old_replies_are_dropped) {
  memory.Remember(AskOf(1, 7), core::Tokens(500), At(0));
  memory.Remember(AskOf(1, 8), core::Tokens(0), At(60));
  CHECK_FALSE(memory.Answered(AskOf(1, 7)).has_value());
  CHECK(memory.Answered(AskOf(1, 8)).has_value());
}
