#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <string>  // string

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP(Evacuation) {
  // Placement chooses between equal upstreams at random; enough requests that
  // none at one of two upstreams is no coincidence.
  static constexpr int kRequests = 48;

  Router router;
  ScriptedUpstream& one = Upstream("one", "fd-x");
  ScriptedUpstream& two = Upstream("two", "fd-y");

  ScriptedUpstream& Upstream(const std::string& id, const std::string& domain) {
    ScriptedUpstream& upstream = router.AddUpstream(id, "lookup");
    router.SetUpstream(id, "lookup " + upstream.address() + " 0 " + domain);
    upstream.Answer([](const StreamRef& stream, const std::string& request) {
      stream->Send(Signed(request, "done"));
    });
    return upstream;
  }
  void Evacuate(const std::string& domain) {
    router.store.Put("config", "evacuate/" + domain, "{}");
    Settle();
  }
  void TakeBack(const std::string& domain) {
    router.store.Put("config", "evacuate/" + domain, "");
    Settle();
  }
  // Deletes the record before the router can read it.
  void WriteUnread(const std::string& value) {
    router.store.unreadable = "config";
    Settle();
    router.store.Put("config", "evacuate/fd-x", value);
    router.store.Put("config", "unrelated", value + "x");
    router.store.Compact("config");
    router.store.unreadable.clear();
  }
  void Settle() { router.io.run_for(std::chrono::milliseconds(300)); }
  void SendRequests() {
    one.requests.clear();
    two.requests.clear();
    for (int i = 0; i < kRequests; ++i) {
      last = router.SendRequest("/lookup/x", {}, "r-" + std::to_string(i));
    }
  }
  std::string last;
};
// clang-format on

TEST(Evacuation, upstreams_of_an_evacuated_domain_get_no_request) {
  // Must hold for pooled connections too: both upstreams have one here.
  router.Start();
  SendRequests();
  CHECK(!one.requests.empty() && !two.requests.empty());
  Evacuate("fd-x");
  SendRequests();
  CHECK(Has(last, "HTTP/1.1 200"));
  CHECK(one.requests.empty());
  CHECK_EQUAL(kRequests, two.requests.size());
  TakeBack("fd-x");
  SendRequests();
  CHECK(!one.requests.empty());
}

TEST(Evacuation, with_all_domains_evacuated_requests_are_refused_at_once) {
  router.Start();
  Evacuate("fd-x");
  Evacuate("fd-y");
  SendRequests();
  CHECK(Has(last, "HTTP/1.1 503"));
  CHECK(Has(last, "Retry-After"));
  CHECK(Has(last, "evacuated"));
  CHECK(one.requests.empty() && two.requests.empty());
}

TEST(Evacuation, a_router_that_starts_during_an_evacuation_applies_it) {
  router.store.Put("config", "evacuate/fd-x", "{}");
  router.Start();
  SendRequests();
  CHECK(one.requests.empty());
}

TEST(Evacuation, a_known_evacuation_holds_while_the_store_is_away) {
  router.Start();
  Evacuate("fd-x");
  router.store.unreachable = true;
  SendRequests();
  CHECK(one.requests.empty());
}

TEST(Evacuation,
     records_deleted_before_they_were_read_are_recovered_by_listing) {
  // Failure: an evacuation is missed because its record is deleted before the
  // router reads it.
  router.Start();
  WriteUnread("{}");
  CHECK(router.Until([&] {
    SendRequests();
    return one.requests.empty();
  }));
  // The end of the evacuation is missed in the same way.
  WriteUnread("");
  CHECK(router.Until([&] {
    SendRequests();
    return !one.requests.empty();
  }));
}

TEST(Evacuation, deletion_of_a_record_does_not_end_the_evacuation) {
  router.Start();
  Evacuate("fd-x");
  router.store.Put("config", "unrelated", "x");
  router.store.Compact("config");
  Settle();
  SendRequests();
  CHECK(one.requests.empty());
}

TEST(Evacuation, records_without_a_known_domain_do_no_harm) {
  router.Start();
  Evacuate("");
  Evacuate("fd-nowhere");
  router.store.Put("config", "evacuate/fd-x", "[not an object");
  Settle();
  SendRequests();
  CHECK(Has(last, "HTTP/1.1 200"));
  CHECK(one.requests.empty());
}

TEST(Evacuation, nothing_is_sent_if_may_send_fails_after_connecting) {
  // Failure: a request reaches an upstream whose failure domain was evacuated
  // while the connection was being opened.
  ScriptedUpstream upstream(router.io);
  const Dialer dialer(router.io);
  const auto connection =
      std::make_shared<UpstreamConnection>(dialer, upstream.address());
  std::optional<AttemptEnd> ended;
  UpstreamConnection::Handlers handlers;
  handlers.on_end = [&](AttemptEnd end, std::string_view) { ended = end; };
  handlers.may_send = [] { return false; };
  connection->Send("GET / HTTP/1.1\r\n\r\n", false, handlers);
  CHECK(router.Until([&] { return ended.has_value(); }));
  CHECK(*ended == AttemptEnd::kWithheld);
  CHECK_FALSE(connection->sent_any());
  Settle();
  CHECK(upstream.requests.empty());
}
