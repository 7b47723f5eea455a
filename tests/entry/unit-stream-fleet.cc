#include <CppUTest/TestHarness.h>

#include <algorithm>  // min
#include <cstdint>    // uint64_t
#include <random>     // mt19937_64, uniform_real_distribution
#include <string>     // string, to_string
#include <vector>     // vector

#include "coppervalve/entry/stream_versions.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::ServiceId kService("engines");
constexpr double kStreamSeconds = 1.5;
constexpr double kStreamsPerSecond = 8;  // of one router
constexpr size_t kBytesOfStream = 8;

// A fleet of which a fifth is killed at the same moment, while each upstream of
// a service has one of two versions.
class Fleet {
 public:
  struct Result {
    int cut = 0;        // streams of killed routers
    int resumed = 0;    // those whose version others know
    int wrong = 0;      // those that others resume at another version
    size_t writes = 0;  // records in a second
    size_t bytes = 0;   // of streams in these
  };

  Fleet(uint32_t routers, double writes_per_second, uint64_t seed)
      : m_random(seed), m_routers(routers) {
    m_limits.store_writes_per_second = writes_per_second;
    m_limits.live = routers;
    m_limits.active = routers;
  }

  Result Play() {
    constexpr double kKilledAt = 30;
    const double interval =
        static_cast<double>(StreamRecordInterval(m_limits).count()) / 1e6;
    for (StreamVersions& router : m_routers) {
      Watch(router, 0, kKilledAt);
    }
    const size_t killed = m_routers.size() / 5;
    Result result;
    for (size_t i = 0; i < m_routers.size(); ++i) {
      Serve(m_routers[i], i < killed, interval, kKilledAt, result);
    }
    StreamVersions& reader = m_routers.back();
    for (const StreamGroup& group : m_log) {
      reader.OnRecord(group, At(kKilledAt));
    }
    for (const StreamStart& start : m_cut) {
      const auto resolved = reader.Resolve(
          start.stream, kService, RecordsRead::kToTheEnd, At(kKilledAt + 0.1));
      result.resumed += resolved.version ? 1 : 0;
      result.wrong +=
          resolved.version && *resolved.version != start.version ? 1 : 0;
    }
    result.cut = static_cast<int>(m_cut.size());
    return result;
  }

 private:
  double Uniform(double below) {
    return std::uniform_real_distribution<double>(0, below)(m_random);
  }
  static void Watch(StreamVersions& router, double from, double to) {
    for (double at = from; at < to; at += 1) {
      router.OnVersions(
          kService, {core::UpstreamVersion("v1"), core::UpstreamVersion("v2")},
          At(at));
    }
  }
  // The last two seconds of a router before the kill.
  void Serve(StreamVersions& router,
             bool killed,
             double interval,
             double end,
             Result& result) {
    const double begin = end - 2;
    double next_write = begin + Uniform(interval);
    for (double at = begin; at < end; at += 1 / kStreamsPerSecond) {
      for (; next_write < at; next_write += interval) {
        Write(router, next_write, end, result);
      }
      const StreamStart start{
          StreamKey(m_random()), kService,
          core::UpstreamVersion(m_random() % 2 == 0 ? "v1" : "v2")};
      router.OnStart(start, At(at));
      if (killed && at + Uniform(2 * kStreamSeconds) > end) {
        m_cut.push_back(start);
      }
    }
    for (; next_write < end; next_write += interval) {
      Write(router, next_write, end, result);
    }
  }
  void Write(StreamVersions& router, double at, double end, Result& result) {
    const auto groups = router.TakeUnwritten(At(at));
    const bool in_last_second = at >= end - 1;
    result.writes += in_last_second && !groups.empty() ? 1 : 0;
    for (const StreamGroup& group : groups) {
      result.bytes +=
          in_last_second ? group.streams.size() * kBytesOfStream : 0;
      m_log.push_back(group);
    }
  }

  std::mt19937_64 m_random;
  HeartbeatLimits m_limits;
  std::vector<StreamVersions> m_routers;
  std::vector<StreamGroup> m_log;
  std::vector<StreamStart> m_cut;
};

}  // namespace

TEST_GROUP(StreamFleet){};

// Guards against callers who can't resume their streams after routers were
// killed.
TEST(StreamFleet, most_streams_of_killed_routers_are_resumed) {
  for (const uint32_t routers : {6U, 30U, 100U, 300U}) {
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      Fleet fleet(std::max(routers, 5U), routers < 30 ? 600 : 1'500, seed);
      const Fleet::Result result = fleet.Play();
      CHECK_EQUAL(0, result.wrong);
      CHECK(2 * result.resumed >= result.cut);
    }
  }
}

// Guards against records that take the store's writes from heartbeats.
TEST(StreamFleet, records_keep_within_their_share_of_the_store) {
  for (const uint32_t routers : {6U, 30U, 100U, 300U, 840U}) {
    Fleet fleet(routers, 600, 7);
    const Fleet::Result result = fleet.Play();
    // Each router may be in the middle of an interval.
    CHECK(result.writes <= 300 + routers);
    CHECK(result.bytes <= 3'000 * routers);
  }
}
