#include "coppervalve/entry/evacuations.h"

#include <CppUTest/TestHarness.h>

using namespace coppervalve;
using namespace coppervalve::entry;

// clang-format off
TEST_GROUP(Evacuations) {
  Evacuations evacuations;
  core::FailureDomainId a{"fd-a"};
  core::FailureDomainId b{"fd-b"};
};
// clang-format on

TEST(Evacuations, a_domain_is_evacuated_until_the_evacuation_ends) {
  const auto began = evacuations.OnRecord(a, true);
  CHECK(began && *began == (EvacuationChange{a, true}));
  CHECK(evacuations.Contains(a));
  CHECK_FALSE(evacuations.Contains(b));
  const auto ended = evacuations.OnRecord(a, false);
  CHECK(ended && *ended == (EvacuationChange{a, false}));
  CHECK_FALSE(evacuations.Contains(a));
}

TEST(Evacuations, a_known_state_is_no_change) {
  evacuations.OnRecord(a, true);
  CHECK_FALSE(evacuations.OnRecord(a, true).has_value());
  CHECK_FALSE(evacuations.OnRecord(b, false).has_value());
}

TEST(Evacuations, domains_are_evacuated_independently) {
  evacuations.OnRecord(a, true);
  evacuations.OnRecord(b, true);
  evacuations.OnRecord(a, false);
  CHECK_FALSE(evacuations.Contains(a));
  CHECK(evacuations.Contains(b));
  CHECK_EQUAL(1, evacuations.size());
}

TEST(Evacuations, the_full_list_includes_missed_changes) {
  // A disconnected router missed the end of one record and the start of
  // another.
  evacuations.OnRecord(a, true);
  const auto changes = evacuations.ReplaceAll({b});
  CHECK_EQUAL(2, changes.size());
  CHECK(changes[0] == (EvacuationChange{a, false}));
  CHECK(changes[1] == (EvacuationChange{b, true}));
  CHECK(evacuations.ReplaceAll({b}).empty());
}

TEST(Evacuations, keys_are_recognised_by_their_prefix) {
  CHECK_FALSE(EvacuatedDomain("evacuate/", "config").has_value());
  CHECK_FALSE(EvacuatedDomain("", "config").has_value());
  const auto domain = EvacuatedDomain("evacuate/", "evacuate/fd-a");
  CHECK(domain && core::IsOk(*domain));
  CHECK(core::Value(*domain) == a);
}

TEST(Evacuations, a_key_without_a_domain_is_an_error) {
  const auto domain = EvacuatedDomain("evacuate/", "evacuate/");
  CHECK(domain && !core::IsOk(*domain));
  CHECK(core::Failure(*domain).id == core::ErrorId::kLogRecordInvalid);
}
