#include <CppUTest/TestHarness.h>

#include <vector>  // vector

#include "coppervalve/entry/stream_versions.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(ResumeAfterLossOfAll) {
  core::ServiceId service{"engines"};
  StreamKey stream = StreamKeyOf(core::AccountId("gate"), "r-1");
  std::vector<StreamGroup> log;
  std::vector<const char*> stated;  // by the last heartbeat of that router

  // A router that serves a stream at version "1", the only one, and is killed.
  void ServeUntilKilled() {
    StreamVersions router;
    for (int tenths = 0; tenths < 300; ++tenths) {
      router.OnVersions(service, {core::UpstreamVersion("1")}, At(tenths / 10.0));
    }
    router.OnStart({stream, service, core::UpstreamVersion("1")}, At(30));
    log = router.TakeUnwritten(At(30.1));
    stated = {"1"};
  }
  // A start that lists one version only.
  ResumeVersion ResolveAfterStart(const char* listed) {
    StreamVersions router;
    for (const char* version : stated) {
      router.OnStated(service, core::UpstreamVersion(version), At(32.9));
    }
    router.OnVersions(service, {core::UpstreamVersion(listed)}, At(33));
    for (const StreamGroup& group : log) {
      router.OnRecord(group, At(33.1));
    }
    return router.Resolve(stream, service, RecordsRead::kToTheEnd, At(33.2));
  }
};
// clang-format on

// Guards against text that is joined from two versions: the version changes
// while all routers are down.
TEST(ResumeAfterLossOfAll, is_refused_if_only_another_version_is_left) {
  ServeUntilKilled();
  const ResumeVersion resumed = ResolveAfterStart("2");
  CHECK_FALSE(resumed.version &&
              *resumed.version != core::UpstreamVersion("1"));
}

// Guards against refusing what can go on: no version changed.
TEST(ResumeAfterLossOfAll, goes_on_at_the_version_that_stayed) {
  ServeUntilKilled();
  const ResumeVersion resumed = ResolveAfterStart("1");
  CHECK(resumed.version == core::UpstreamVersion("1"));
}
