#include "coppervalve/entry/transfer_reply_cache.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

v1::TokenAsk TokenRequest(uint64_t epoch, uint64_t id) {
  v1::TokenAsk request;
  request.set_router("router-2");
  request.set_epoch(epoch);
  request.set_id(id);
  return request;
}

}  // namespace

// clang-format off
TEST_GROUP(TransferReplyCache) {
  TransferReplyCache cache;
};
// clang-format on

TEST(TransferReplyCache, a_repeated_request_gets_the_same_reply) {
  cache.Insert(TokenRequest(1, 7), core::Tokens(500), At(0));
  CHECK_EQUAL(500, cache.Find(TokenRequest(1, 7))->value());
  CHECK_FALSE(cache.Find(TokenRequest(2, 7)).has_value());
  CHECK_FALSE(cache.Find(TokenRequest(1, 8)).has_value());
}

TEST(TransferReplyCache, old_replies_are_dropped) {
  cache.Insert(TokenRequest(1, 7), core::Tokens(500), At(0));
  cache.Insert(TokenRequest(1, 8), core::Tokens(0), At(60));
  CHECK_FALSE(cache.Find(TokenRequest(1, 7)).has_value());
  CHECK(cache.Find(TokenRequest(1, 8)).has_value());
}
