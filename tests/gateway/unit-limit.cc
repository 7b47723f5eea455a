#include <CppUTest/TestHarness.h>

#include <chrono>    // milliseconds
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/entry/peer_loads.h"
#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP(Limit) {
  Router router;
  std::optional<double> limit_of_one = 0.5;
  std::optional<double> limit_of_two;
  ScriptedUpstream& one = Upstream("one", limit_of_one);
  ScriptedUpstream& two = Upstream("two", limit_of_two);
  std::string last;

  ScriptedUpstream& Upstream(const std::string& id,
                             const std::optional<double>& limit) {
    ScriptedUpstream& upstream = router.AddUpstream(id, "lookup");
    upstream.Answer([&limit](const StreamRef& stream,
                             const std::string& request) {
      stream->Send(limit ? SignedWithLimit(request, *limit)
                         : Signed(request, "done"));
    });
    return upstream;
  }
  // @return number of the requests that upstream "one" received
  size_t SendRequests(int count) {
    one.requests.clear();
    for (int i = 0; i < count; ++i) {
      last = router.SendRequest("/lookup/x", {}, "r-" + std::to_string(i));
    }
    return one.requests.size();
  }
  void ReportLimit(std::optional<double> per_second, uint64_t sequence) {
    v1::PeerDatagram datagram;
    v1::LoadReport& report = *datagram.mutable_load();
    report.set_router("router-2");
    report.set_epoch(1);
    report.set_sequence(sequence);
    v1::UpstreamLimit* limit = report.add_limits();
    limit->set_upstream(entry::LoadKey(core::UpstreamId("one")));
    if (per_second) {
      limit->set_per_second(*per_second);
    }
    SendDatagram(router.io, router.settings.load_address,
                 datagram.SerializeAsString());
    router.io.run_for(std::chrono::milliseconds(50));
  }
};
// clang-format on

TEST(Limit, an_upstream_gets_no_more_requests_than_its_stated_limit) {
  router.Start();
  CHECK(SendRequests(30) <= 2);
  CHECK(Has(last, "HTTP/1.1 200"));
}

TEST(Limit, removal_of_a_limit_is_detected) {
  router.Start();
  SendRequests(30);
  limit_of_one.reset();
  CHECK(router.Until([&] { return SendRequests(30) > 5; }));
}

TEST(Limit, with_all_upstreams_limited_requests_are_refused_at_once) {
  limit_of_two = 0.5;
  router.Start();
  SendRequests(10);
  CHECK(Has(last, "HTTP/1.1 503"));
  CHECK(Has(last, "Retry-After"));
  CHECK(Has(last, "take no more for now"));
  CHECK(one.requests.size() + two.requests.size() <= 4);
}

TEST(Limit, a_limit_reported_by_another_router_applies) {
  limit_of_one.reset();
  router.settings.load_address = FreeAddress();
  router.Start();
  CHECK(SendRequests(30) > 5);
  ReportLimit(0.5, 1);
  CHECK(SendRequests(30) <= 1);
  ReportLimit(std::nullopt, 2);
  CHECK(SendRequests(30) > 5);
}

TEST(Limit, limits_in_error_responses_apply) {
  one.Answer([](const StreamRef& stream, const std::string&) {
    stream->Send(
        "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Limit: 0.5\r\n"
        "Content-Length: 0\r\n\r\n");
  });
  router.Start();
  CHECK(SendRequests(30) <= 2);
  CHECK(Has(last, "HTTP/1.1 200"));
}
