#include <CppUTest/TestHarness.h>

#include "coppervalve/request/expired_key_filter.h"
#include "coppervalve/request/key_name.h"

using namespace coppervalve;
using request::KeyName;
using request::Origin;

namespace {

const Origin kOrigin{core::RouterId("r.1"), core::Incarnation(0xAB)};

KeyName MustParse(const std::string& text) {
  core::Result<KeyName> key = KeyName::Parse(text);
  CHECK(core::IsOk(key));
  return core::TakeValue(std::move(key));
}

}  // namespace

// clang-format off
TEST_GROUP(KeyName){};
// clang-format on

TEST(KeyName, a_prefix_names_the_incarnation_that_handed_it_out) {
  STRCMP_EQUAL("cv1.r.1.00000000000000ab.", KeyPrefix(kOrigin).c_str());
  const KeyName key = MustParse(KeyPrefix(kOrigin) + "seat-7");
  CHECK(key.origin() == kOrigin);
}

TEST(KeyName, a_key_without_a_well_formed_prefix_has_no_origin) {
  for (const char* text :
       {"seat-7", "cv1.", "cv1.r1.00000000000000AB.x", "cv1.r1.ab.x",
        "cv2.r1.00000000000000ab.x", "cv1..00000000000000ab"}) {
    CHECK_FALSE(MustParse(text).origin().has_value());
  }
}

TEST(KeyName, bad_keys_are_refused) {
  for (const std::string& text :
       {std::string(), std::string(201, 'k'), std::string("a\nb"),
        std::string("\xC3\xA9"), KeyPrefix(kOrigin)}) {
    const core::Result<KeyName> key = KeyName::Parse(text);
    CHECK_FALSE(core::IsOk(key));
    CHECK(core::Failure(key).id == core::ErrorId::kBadRequest);
  }
  CHECK(core::IsOk(KeyName::Parse(std::string(200, 'k'))));
}

TEST(KeyName, accounts_never_share_a_key) {
  const KeyName key = MustParse("seat-7");
  CHECK(key.IdentityFor(core::AccountId("a")) !=
        key.IdentityFor(core::AccountId("b")));
  CHECK(MustParse("b-k").IdentityFor(core::AccountId("a")) !=
        MustParse("k").IdentityFor(core::AccountId("ab-")));
}

TEST(KeyName, a_forgotten_key_is_found_for_a_whole_generation) {
  constexpr size_t kPerGeneration = 64;
  request::ExpiredKeyFilter forgotten(kPerGeneration);
  for (size_t i = 0; i < 2 * kPerGeneration; ++i) {
    forgotten.Add(core::HashOf("old-" + std::to_string(i)));
  }
  for (size_t i = 0; i < 2 * kPerGeneration; ++i) {
    CHECK(forgotten.MayContain(core::HashOf("old-" + std::to_string(i))));
  }
  size_t mistaken = 0;
  for (size_t i = 0; i < 10'000; ++i) {
    mistaken += forgotten.MayContain(core::HashOf(std::to_string(i)));
  }
  CHECK(mistaken < 100);
}
