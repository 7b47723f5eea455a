// What the crash record costs a router: the bytes that its heartbeats carry for
// it, and the time it takes of a request and of a heartbeat that is read.
#include <algorithm>  // max
#include <chrono>     // steady_clock
#include <cstddef>    // size_t
#include <cstdint>    // uint64_t
#include <random>     // mt19937_64
#include <string>     // string, to_string
#include <vector>     // vector

#include "bench/budget/report.h"
#include "coppervalve/core/ids.h"
#include "tests/entry/crash_fleet.h"
#include "tests/entry/entry_fixture.h"

namespace {

using namespace coppervalve;
using bench::Bound;
using bench::Report;
using entry::testing::CrashFleet;

constexpr double kSeconds = 60;
constexpr double kStep = 0.02;
constexpr double kHeartbeatInterval = 1;
constexpr double kCrashingPerSecond = 2;
constexpr double kSoundPerSecond = 150;
constexpr size_t kUpstreamsPerRouter = 3;
// The control traffic that a router may cause, in bytes a second.
constexpr double kMaxBytesPerSecond = 3'000;

struct Traffic {
  double mean_bytes = 0;  ///< a router and second
  size_t most_bytes = 0;  ///< of one heartbeat
  entry::CrashRecord last;
};

std::vector<std::string> Parts(std::mt19937_64& random, bool crashing) {
  return {"system",
          crashing ? "crashing" : "document " + std::to_string(random() % 300)};
}

// Every five seconds a sixth of the upstreams ends for other causes.
Traffic Measure(size_t routers) {
  constexpr uint64_t kSeed = 1;
  CrashFleet fleet(kSeed, routers, routers * kUpstreamsPerRouter);
  std::mt19937_64 random(kSeed);
  Traffic traffic{0, 0, entry::CrashRecord({})};
  double next_sound = 0;
  double next_crashing = 3;
  double next_unrelated = 3;
  double next_heartbeat = 0;
  uint64_t number = 0;
  size_t total = 0;
  while (fleet.now() < kSeconds) {
    const auto send = [&](bool crashing) {
      fleet.Send(fleet.RandomRouter(), std::to_string(++number), crashing,
                 Parts(random, crashing));
    };
    for (; next_sound <= fleet.now(); next_sound += 1 / kSoundPerSecond) {
      send(false);
    }
    for (; next_crashing <= fleet.now();
         next_crashing += 1 / kCrashingPerSecond) {
      send(true);
    }
    if (next_unrelated <= fleet.now()) {
      fleet.TerminateRandom(routers * kUpstreamsPerRouter / 6);
      next_unrelated += 5;
    }
    for (; next_heartbeat <= fleet.now();
         next_heartbeat += kHeartbeatInterval) {
      for (size_t router = 0; router < routers; ++router) {
        const size_t bytes = fleet.ReportBytes(router);
        total += bytes;
        traffic.most_bytes = std::max(traffic.most_bytes, bytes);
      }
    }
    fleet.Advance(kStep);
  }
  traffic.mean_bytes =
      static_cast<double>(total) / (kSeconds * static_cast<double>(routers));
  traffic.last = fleet.record(0);
  return traffic;
}

template <typename Function>
double NanosecondsOf(int repeats, const Function& function) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < repeats; ++i) {
    function(i);
  }
  const std::chrono::duration<double, std::nano> taken =
      std::chrono::steady_clock::now() - begin;
  return taken.count() / repeats;
}

// What each request does while crashes are recorded: hash its content and its
// parts, and look them up; then strong hashes, if one may be recorded.
void MeasureTime(const entry::CrashRecord& record, Report& report) {
  constexpr int kRepeats = 20'000;
  constexpr size_t kBodyBytes = 4'096;
  const std::string body(kBodyBytes, 'x');
  const entry::RequestContent content{"POST", "/x", core::AccountId("gate"),
                                      body};
  const core::ServiceId service("engines");
  size_t seen = 0;
  report.Print(
      "request_quick_check",
      NanosecondsOf(
          kRepeats,
          [&](int i) {
            const std::string part = "document " + std::to_string(i);
            seen += record.MayContain(entry::QuickHashOf(content));
            seen +=
                record.MayContain(entry::QuickHashOfPart(service, "system"));
            seen += record.MayContain(entry::QuickHashOfPart(service, part));
          }),
      "ns");
  report.Print("request_full_check",
               NanosecondsOf(
                   kRepeats,
                   [&](int i) {
                     entry::RequestTraits traits(entry::FingerprintOf(content));
                     traits.parts = {
                         entry::FingerprintOfPart(service, "system"),
                         entry::FingerprintOfPart(
                             service, "document " + std::to_string(i))};
                     seen += record.Assess(traits).part ? 1 : 0;
                   }),
               "ns");
  v1::RouterBeat beat;
  record.AddReportsTo(beat, entry::testing::At(kSeconds));
  entry::CrashRecord reader({});
  report.Print(
      "heartbeat_read",
      NanosecondsOf(
          1'000,
          [&](int) { reader.OnHeartbeat(beat, entry::testing::At(kSeconds)); }),
      "ns");
  report.Print("found", static_cast<double>(seen), "lookups");
}

}  // namespace

int main() {
  Report report;
  for (const size_t routers : {size_t{6}, size_t{100}, size_t{300}}) {
    const Traffic traffic = Measure(routers);
    const std::string suffix = "_routers_" + std::to_string(routers);
    report.Print("crash_reports_mean" + suffix, traffic.mean_bytes,
                 "B/s a router",
                 Bound{Bound::Kind::kAtMost, kMaxBytesPerSecond});
    report.Print("crash_reports_most" + suffix,
                 static_cast<double>(traffic.most_bytes), "B a heartbeat");
    MeasureTime(traffic.last, report);
  }
  return report.exceeded() ? 1 : 0;
}
