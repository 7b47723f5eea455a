#include "coppervalve/entry/heartbeat_content.h"

#include <CppUTest/TestHarness.h>

#include <string>  // string

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;

namespace {

constexpr size_t kRecordBytes = 262'144;
constexpr size_t kClaims = 333;

std::string LongText(size_t number) {
  std::string text = std::to_string(number);
  return text + std::string(256 - text.size(), 'x');
}

v1::RouterBeat HeartbeatWithClaims() {
  v1::RouterBeat beat;
  beat.set_epoch(3);
  beat.set_caller_address("10.0.0.1:80");
  for (size_t i = 0; i < kClaims; ++i) {
    beat.add_claims()->set_account("account" + std::to_string(i));
  }
  return beat;
}

bool IsNone(const core::ServiceId& /*service*/) {
  return false;
}

bool IsEngines(const core::ServiceId& service) {
  return service.value() == "engines";
}

}  // namespace

// clang-format off
TEST_GROUP(HeartbeatContent) {
  UpstreamDirectory::VersionCounts table;
  v1::RouterBeat beat = HeartbeatWithClaims();

  void List(const std::string& service, const std::string& version) {
    ++table[core::ServiceId(service)][core::UpstreamVersion(version)];
  }
};
// clang-format on

// Guards against a heartbeat that the store refuses since others fill the
// table.
TEST(HeartbeatContent, fits_a_record_whatever_the_table_names) {
  for (size_t i = 0; i < 5'000; ++i) {
    List(LongText(i), LongText(i));
    List("engines", LongText(i));
  }
  StateVersions(table, IsEngines, 1'000, beat);
  CHECK(beat.versions_incomplete());
  CHECK(beat.ByteSizeLong() < kRecordBytes / 4);
  STRCMP_EQUAL("engines", beat.service_versions(0).service().c_str());
  CHECK_EQUAL(kClaims, static_cast<size_t>(beat.claims_size()));
  CHECK(FitHeartbeat(kRecordBytes, beat).versions);
}

TEST(HeartbeatContent, a_small_table_is_stated_in_full) {
  List("engines", "v1");
  List("engines", "v2");
  List("desk", "v1");
  StateVersions(table, IsNone, 1'000, beat);
  CHECK_FALSE(beat.versions_incomplete());
  CHECK_EQUAL(2, beat.service_versions_size());
  CHECK_EQUAL(1'000, beat.versions_listed_at_s());
}

// Guards against a service with several versions that seems to have one.
TEST(HeartbeatContent, of_many_versions_two_are_stated) {
  for (const char* version : {"v1", "v2", "v3", "v4"}) {
    List("engines", version);
  }
  StateVersions(table, IsEngines, 1'000, beat);
  CHECK_FALSE(beat.versions_incomplete());
  CHECK_EQUAL(2, beat.service_versions(0).versions_size());
}

TEST(HeartbeatContent, what_fits_is_left_as_it_is) {
  List("engines", "v1");
  StateVersions(table, IsEngines, 1'000, beat);
  CHECK(FitHeartbeat(kRecordBytes, beat) == HeartbeatOmissions{});
  CHECK_EQUAL(1, beat.service_versions_size());
}

TEST(HeartbeatContent, versions_are_left_out_before_crashes) {
  List("engines", "v1");
  StateVersions(table, IsEngines, 1'000, beat);
  beat.add_crashes()->set_request(std::string(24, 'a'));
  const HeartbeatOmissions omitted =
      FitHeartbeat(beat.ByteSizeLong() - 1, beat);
  CHECK(omitted.versions);
  CHECK_EQUAL(0, omitted.crashes);
  CHECK(beat.versions_incomplete());
  CHECK_EQUAL(1, beat.crashes_size());
}

TEST(HeartbeatContent, claims_are_never_left_out) {
  List("engines", "v1");
  StateVersions(table, IsEngines, 1'000, beat);
  beat.add_crashes()->set_request(std::string(24, 'a'));
  beat.add_crashes()->set_request(std::string(24, 'b'));
  const HeartbeatOmissions omitted = FitHeartbeat(100, beat);
  CHECK_EQUAL(2, omitted.crashes);
  CHECK_EQUAL(kClaims, static_cast<size_t>(beat.claims_size()));
  STRCMP_EQUAL("10.0.0.1:80", beat.caller_address().c_str());
}
