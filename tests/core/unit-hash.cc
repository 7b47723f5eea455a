#include <CppUTest/TestHarness.h>

#include "coppervalve/core/error.h"
#include "coppervalve/core/hash.h"

using namespace coppervalve::core;

// clang-format off
TEST_GROUP(Hash){};
// clang-format on

TEST(Hash, a_128_bit_hash_round_trips_through_bytes) {
  const Hash128 hash = HashOf("key-1");
  CHECK(Hash128::FromBytes(hash.ToBytes()) == hash);
  CHECK(Hash128::FromBytes("short") == Hash128{});
}

TEST(Hash, sha256_matches_the_published_test_vector) {
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      Sha256Hex("abc").c_str());
}

TEST(Hash, an_error_prints_its_code_name_subject_and_detail) {
  const Error error{ErrorId::kBudgetExhausted, "gate", "needs 40 tokens"};
  STRCMP_EQUAL("CV-403 budget_exhausted at gate: needs 40 tokens",
               ToString(error).c_str());
}
