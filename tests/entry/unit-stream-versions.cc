#include "coppervalve/entry/stream_versions.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // count_if
#include <string>     // string
#include <utility>    // pair
#include <vector>     // vector

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::ServiceId kService("engines");
const core::AccountId kAccount("gate");

core::UpstreamVersion Version(const std::string& text) {
  return core::UpstreamVersion(text);
}

StreamKey Stream(const std::string& id) {
  return StreamKeyOf(kAccount, id);
}

// One router's knowledge, fed by a table and a log.
struct Node {
  StreamVersions versions;
  size_t read = 0;  // records of the log

  void List(const std::vector<std::string>& listed, double at) {
    std::vector<core::UpstreamVersion> all;
    all.reserve(listed.size());
    for (const std::string& one : listed) {
      all.push_back(Version(one));
    }
    versions.OnVersions(kService, all, At(at));
  }
  void Watch(const std::vector<std::string>& listed, double from, double to) {
    for (double at = from; at < to; at += 0.2) {
      List(listed, at);
    }
  }
  void Begin(const std::string& id, const std::string& version, double at) {
    versions.OnStart({Stream(id), kService, Version(version)}, At(at));
  }
  void Write(std::vector<StreamGroup>& log, double at) {
    for (const StreamGroup& group : versions.TakeUnwritten(At(at))) {
      log.push_back(group);
    }
  }
  std::string Resolve(const std::string& id,
                      double at,
                      RecordsRead how = RecordsRead::kToTheEnd) {
    const auto resolved = versions.Resolve(Stream(id), kService, how, At(at));
    return resolved.version ? resolved.version->value() : "";
  }
  std::string ResolveFrom(const std::vector<StreamGroup>& log,
                          const std::string& id,
                          double at) {
    for (; read < log.size(); ++read) {
      versions.OnRecord(log[read], At(at));
    }
    return Resolve(id, at);
  }
};

}  // namespace

// clang-format off
TEST_GROUP(StreamVersions) {
  Node first;
  Node second;
  std::vector<StreamGroup> log;
};
// clang-format on

TEST(StreamVersions, with_one_version_nothing_is_recorded) {
  first.Watch({"v1"}, 0, 30);
  first.Begin("a", "v1", 30);
  CHECK(!first.versions.HasUnwritten());
  second.Watch({"v1"}, 0, 30);
  STRCMP_EQUAL("v1", second.Resolve("a", 30).c_str());
}

TEST(StreamVersions, a_recorded_stream_is_resumed_at_its_version_elsewhere) {
  first.Watch({"v1", "v2"}, 0, 30);
  second.Watch({"v1", "v2"}, 0, 30);
  first.Begin("a", "v1", 30);
  first.Begin("b", "v2", 30);
  first.Write(log, 30);
  STRCMP_EQUAL("v1", second.ResolveFrom(log, "a", 31).c_str());
  STRCMP_EQUAL("v2", second.ResolveFrom(log, "b", 31).c_str());
}

// Guards against a guess when a router was killed before it wrote.
TEST(StreamVersions, a_stream_without_a_record_is_unknown_among_versions) {
  first.Watch({"v1", "v2"}, 0, 30);
  second.Watch({"v1", "v2"}, 0, 30);
  first.Begin("a", "v1", 30);
  STRCMP_EQUAL("", second.ResolveFrom(log, "a", 30.1).c_str());
}

// Guards against streams that are lost for their callers because they started a
// moment before a release.
TEST(StreamVersions,
     streams_from_before_a_release_are_recorded_when_it_starts) {
  first.Watch({"v1"}, 0, 30);
  second.Watch({"v1"}, 0, 30);
  first.Begin("a", "v1", 29);
  first.List({"v1", "v2"}, 30);
  second.List({"v1", "v2"}, 30);
  first.Write(log, 30);
  STRCMP_EQUAL("v1", second.ResolveFrom(log, "a", 31).c_str());
}

// Guards against a router that has not seen a new version yet and takes it for
// granted that there is only the old one.
TEST(StreamVersions, a_record_of_a_version_that_is_not_listed_yet_counts) {
  first.Watch({"v1", "v2"}, 0, 30);
  second.Watch({"v1"}, 0, 30);
  first.Begin("a", "v2", 30);
  first.Begin("b", "v2", 30);
  first.Write(log, 30);
  log.back().streams.pop_back();
  STRCMP_EQUAL("v2", second.ResolveFrom(log, "a", 30.1).c_str());
  STRCMP_EQUAL("", second.ResolveFrom(log, "b", 30.1).c_str());
}

// Guards against a restarted router that does not know of a version that left a
// moment before its start.
TEST(StreamVersions, a_restarted_router_does_not_guess_after_a_release) {
  first.Watch({"v1", "v2"}, 0, 30);
  first.Begin("a", "v1", 29.9);
  first.Begin("b", "v2", 29.9);
  first.Watch({"v2"}, 30, 31);
  first.Write(log, 31);
  log.erase(log.begin());
  second.Watch({"v2"}, 31, 32);
  STRCMP_EQUAL("v2", second.ResolveFrom(log, "b", 32).c_str());
  STRCMP_EQUAL("", second.Resolve("a", 32).c_str());
}

// Guards against refusals at restarted routers long after a release.
TEST(StreamVersions, a_restarted_router_resumes_all_streams_at_any_time_after) {
  first.Watch({"v1", "v2"}, 0, 30);
  std::vector<std::pair<double, StreamGroup>> written;
  for (int i = 0; i < 100; ++i) {
    const double at = 30 + i;
    first.Watch({"v2"}, at, at + 1);
    first.Begin("s" + std::to_string(i), "v2", at + 0.9);
    for (const StreamGroup& group : first.versions.TakeUnwritten(At(at + 1))) {
      written.emplace_back(at + 1, group);
    }
    Node started;
    started.List({"v2"}, at + 1);
    for (const auto& [time, group] : written) {
      if (time > at + 1 - 20) {
        started.versions.OnRecord(group, At(at + 1));
      }
    }
    const std::string id = "s" + std::to_string(i);
    STRCMP_EQUAL("v2", started.Resolve(id, at + 1).c_str());
  }
  CHECK(written.back().first < 30 + 50);
}

TEST(StreamVersions, a_restarted_router_of_a_uniform_fleet_resumes_streams) {
  second.List({"v1"}, 5);
  STRCMP_EQUAL("v1", second.ResolveFrom(log, "a", 5.5).c_str());
}

TEST(StreamVersions, in_an_outage_a_router_trusts_a_view_that_is_long_enough) {
  first.Watch({"v1"}, 0, 30);
  second.Watch({"v1"}, 28, 30);
  STRCMP_EQUAL("v1", first.Resolve("a", 30, RecordsRead::kUnavailable).c_str());
  STRCMP_EQUAL("", second.Resolve("a", 30, RecordsRead::kUnavailable).c_str());
}

// Guards against a router that is cut off from the store while others learn of
// a release.
TEST(StreamVersions, a_router_that_alone_lost_the_store_knows_its_own_only) {
  first.Watch({"v1"}, 0, 30);
  first.Begin("a", "v1", 29);
  const auto how = RecordsRead::kUnavailableHere;
  STRCMP_EQUAL("v1", first.Resolve("a", 30, how).c_str());
  STRCMP_EQUAL("", first.Resolve("b", 30, how).c_str());
}

TEST(StreamVersions, a_stream_that_started_at_two_versions_is_not_resumed) {
  first.Watch({"v1", "v2"}, 0, 30);
  first.Begin("a", "v1", 30);
  first.Begin("a", "v2", 30);
  STRCMP_EQUAL("", first.Resolve("a", 30).c_str());
}

TEST(StreamVersions, an_account_cannot_change_what_is_known_of_another) {
  first.Watch({"v1", "v2"}, 0, 30);
  first.Begin("a", "v1", 30);
  first.versions.OnStart(
      {StreamKeyOf(core::AccountId("other"), "a"), kService, Version("v2")},
      At(30));
  STRCMP_EQUAL("v1", first.Resolve("a", 30).c_str());
}

TEST(StreamVersions, a_third_attempt_keeps_the_record_of_the_first) {
  first.Watch({"v1", "v2"}, 0, 30);
  second.Watch({"v1", "v2"}, 0, 45);
  first.Begin("a", "v1", 30);
  first.Write(log, 30);
  STRCMP_EQUAL("v1", second.ResolveFrom(log, "a", 45).c_str());
  second.Begin("a", "v1", 45);
  std::vector<StreamGroup> later;
  second.Write(later, 45);
  Node third;
  third.Watch({"v1", "v2"}, 50, 60);
  STRCMP_EQUAL("v1", third.ResolveFrom(later, "a", 60).c_str());
}

TEST(StreamVersions, ended_streams_and_floods_of_ids_are_bounded) {
  StreamVersionsOptions options;
  options.max_streams = 100;
  StreamVersions bounded(options);
  bounded.OnVersions(kService, {Version("v1")}, At(0));
  for (int i = 0; i < 1'000; ++i) {
    bounded.OnStart({Stream("s" + std::to_string(i)), kService, Version("v1")},
                    At(1));
  }
  CHECK_EQUAL(100, bounded.size());
  bounded.Advance(At(22));
  CHECK_EQUAL(0, bounded.size());
}

// Guards against a standby that doesn't read the table and so records nothing.
TEST(StreamVersions, a_router_that_does_not_follow_the_table_records_all) {
  first.Watch({"v1"}, 0, 30);
  first.versions.OnTableLost();
  first.Begin("a", "v1", 30);
  first.Write(log, 30);
  CHECK_EQUAL(1, log.size());
  CHECK(log.front().seen == VersionsSeen::kUnknown);
  STRCMP_EQUAL("", first.Resolve("b", 30).c_str());
}

// Guards against a version that nobody listed since the list was cut short.
TEST(StreamVersions,
     a_service_that_an_incomplete_list_lacks_has_no_sole_version) {
  second.List({"v1"}, 30);
  STRCMP_EQUAL("v1", second.Resolve("a", 30.1).c_str());
  second.versions.OnIncompleteStatement(At(30.2));
  STRCMP_EQUAL("", second.Resolve("a", 30.3).c_str());
  second.versions.OnStated(kService, Version("v1"), At(30.4));
  STRCMP_EQUAL("v1", second.Resolve("a", 30.5).c_str());
}

TEST(StreamVersions, an_incomplete_list_counts_as_long_as_a_stream_may_last) {
  second.versions.OnIncompleteStatement(At(10));
  second.List({"v1"}, 30.5);
  STRCMP_EQUAL("v1", second.Resolve("a", 30.6).c_str());
}

// Guards against a record that the store never takes as others chose its texts.
TEST(StreamVersions, a_record_of_many_long_versions_is_divided) {
  constexpr size_t kStreams = 2'000;
  first.Watch({"v1", "v2"}, 0, 30);
  for (size_t i = 0; i < kStreams; ++i) {
    first.Begin(std::to_string(i), std::to_string(i) + std::string(250, 'x'),
                30);
  }
  size_t written = 0;
  while (first.versions.HasUnwritten()) {
    size_t bytes = 0;
    for (const StreamGroup& group : first.versions.TakeUnwritten(At(30))) {
      written += group.streams.size();
      bytes += group.version.value().size();
    }
    CHECK(bytes < StreamVersionsOptions().max_record_bytes);
  }
  CHECK_EQUAL(kStreams, written);
}
