#include <CppUTest/TestHarness.h>

#include <chrono>  // hours, milliseconds, seconds, system_clock
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

// clang-format off
TEST_GROUP(StreamVersion) {
  Router router;
  std::vector<ScriptedUpstream*> old_ones;
  std::vector<ScriptedUpstream*> new_ones;
  int parts_before_break = 0;  // events that an upstream sends; 0: all
  std::unique_ptr<Gateway> other;
  std::string own_address;

  void AddUpstreams(std::vector<ScriptedUpstream*>& list,
                    const std::string& version, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = version + "-" + std::to_string(i);
      ScriptedUpstream& upstream = router.AddUpstream(id, "chat", "0 fd-a " + version);
      upstream.Answer([this, version](const StreamRef& stream,
                                      const std::string& request) {
        Reply(stream, request, version);
      });
      list.push_back(&upstream);
    }
  }
  void Reply(const StreamRef& stream, const std::string& request,
             const std::string& version) {
    const size_t at = request.find("X-After: ");
    const int after = at == std::string::npos ? 0 : std::stoi(request.substr(at + 9));
    stream->Send(SignedStreamHead(request));
    constexpr int kEvents = 6;
    for (int i = after + 1; i <= kEvents; ++i) {
      if (parts_before_break != 0 && i > after + parts_before_break) {
        stream->CloseWhenSent();
        return;
      }
      stream->Send(Chunk("id: " + std::to_string(i) + "\ndata: " + version + "\n\n"));
    }
    stream->Send("0\r\n\r\n");
  }
  std::string Resume(const std::string& path, const std::string& id,
                     const std::string& of) {
    return router.SendRequest(path, "X-After: 2\r\nX-Resumes: " + of + "\r\n", id);
  }
  // Breaks a stream off after its second event, also within the router.
  std::string Begin(const std::string& path, const std::string& id) {
    parts_before_break = 2;
    std::string answer = router.SendRequest(path, {}, id);
    parts_before_break = 0;
    return answer;
  }
  static bool Mixed(const std::string& answers) {
    return Has(answers, "data: v1") && Has(answers, "data: v2");
  }
  void Settle() { router.io.run_for(std::chrono::milliseconds(400)); }

  void StartBoth() {
    router.settings.load_address = FreeAddress();
    own_address = router.settings.caller_address;
    router.Start();
    other = router.StartPeer("router-2");
  }
  void SwallowReadsOfTable() {
    router.store.swallows = [](const std::string& topic, const std::string& to) {
      return topic == "upstreams" && to == "router-1";
    };
  }
  // As if the other router had been killed before it wrote.
  void LoseWrites() {
    router.store.is_late = [](const std::string& topic) {
      return topic == "streams" || topic == "routers";
    };
  }
  // Begins streams at the other router until one is at a version. Returns its
  // id.
  std::string BeginAtPeer(const std::string& version) {
    router.settings.caller_address = router.peer_address;
    constexpr int kMostStreams = 500;
    std::string id;
    std::string answer;
    for (int i = 0; i < kMostStreams && !Has(answer, "data: " + version); ++i) {
      id = "r-" + std::to_string(i);
      answer = Begin("/chat/" + id, id);
    }
    router.settings.caller_address = own_address;
    CHECK(Has(answer, "data: " + version));
    return id;
  }
};
// clang-format on

// Guards against a stream that a router resumes at another version.
TEST(StreamVersion, a_router_goes_on_at_the_version_that_started_a_stream) {
  AddUpstreams(old_ones, "v1", 2);
  AddUpstreams(new_ones, "v2", 2);
  router.Start();
  parts_before_break = 2;
  for (int i = 0; i < 20; ++i) {
    const std::string answer = router.SendRequest("/chat/" + std::to_string(i),
                                                  {}, "r-" + std::to_string(i));
    CHECK(!Mixed(answer));
  }
}

// Guards against a stream that breaks off although an upstream of its version
// is left.
TEST(StreamVersion, a_stream_is_complete_while_one_upstream_of_it_is_left) {
  AddUpstreams(old_ones, "v1", 2);
  AddUpstreams(new_ones, "v2", 6);
  for (ScriptedUpstream* upstream : new_ones) {
    upstream->StopListening();
  }
  router.Start();
  parts_before_break = 3;
  const std::string answer = router.SendRequest("/chat/x");
  CHECK(Has(answer, "id: 6\ndata: v1"));
}

// Guards against a caller whose stream goes on at another version after its
// router was lost.
TEST(StreamVersion, another_router_resumes_a_stream_at_its_version) {
  router.settings.load_address = FreeAddress();
  AddUpstreams(old_ones, "v1", 2);
  AddUpstreams(new_ones, "v2", 2);
  router.Start();
  const auto peer = router.StartPeer("router-2");
  std::vector<std::string> first;
  constexpr size_t kStreams = 12;
  for (size_t i = 0; i < kStreams; ++i) {
    const std::string number = std::to_string(i);
    first.push_back(Begin("/chat/" + number, "r-" + number));
  }
  Settle();
  router.gateway.reset();
  router.settings.caller_address = router.peer_address;
  size_t complete = 0;
  for (size_t i = 0; i < kStreams; ++i) {
    const std::string number = std::to_string(i);
    const std::string rest =
        Resume("/chat/" + number, "again-" + number, "r-" + number);
    CHECK(!Mixed(first[i] + rest));
    complete += Has(rest, "id: 6\n") ? 1 : 0;
  }
  CHECK_EQUAL(kStreams, complete);
}

// Guards against a guess when it isn't known at which version a stream started.
TEST(StreamVersion, an_unknown_stream_is_refused_while_there_are_versions) {
  AddUpstreams(old_ones, "v1", 2);
  AddUpstreams(new_ones, "v2", 2);
  router.Start();
  const std::string answer = Resume("/chat/x", "r-2", "r-1");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "CV-417"));
  CHECK(Has(answer, "Retry-After"));
}

TEST(StreamVersion, an_unknown_stream_is_resumed_if_there_is_one_version) {
  AddUpstreams(old_ones, "v1", 2);
  router.Start();
  const std::string answer = Resume("/chat/x", "r-2", "r-1");
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(!Has(answer, "id: 2\n"));
  CHECK(Has(answer, "id: 3\n"));
}

// Guards against a stream that goes on at an upstream that restarted with
// another version under its id.
TEST(StreamVersion, an_id_that_restarts_with_another_version_gets_no_rest) {
  AddUpstreams(old_ones, "v1", 1);
  router.Start();
  const std::string begun = Begin("/chat/x", "r-1");
  CHECK(Has(begun, "data: v1"));
  router.SetUpstream("v1-0", "chat " + old_ones[0]->address() + " 0 fd-a v2");
  Settle();
  const std::string answer = Resume("/chat/x", "r-2", "r-1");
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "version"));
}

TEST(StreamVersion, records_are_written_only_while_there_are_versions) {
  AddUpstreams(old_ones, "v1", 2);
  router.Start();
  router.SendRequest("/chat/x", {}, "r-1");
  Settle();
  CHECK_EQUAL(0, router.store.RecordsOf("streams"));
  AddUpstreams(new_ones, "v2", 1);
  Settle();
  CHECK(router.store.RecordsOf("streams") != 0);
}

// Guards against records that are lost with the reply to their write, or while
// the store is away.
TEST(StreamVersion, records_reach_the_store_after_an_outage) {
  AddUpstreams(old_ones, "v1", 2);
  AddUpstreams(new_ones, "v2", 2);
  router.Start();
  router.store.unreachable = true;
  router.SendRequest("/chat/x", {}, "r-1");
  Settle();
  CHECK_EQUAL(0, router.store.RecordsOf("streams"));
  router.store.unreachable = false;
  router.store.lose_replies = 2;
  router.Until([&] { return router.store.RecordsOf("streams") != 0; });
  Settle();
  CHECK_EQUAL(1, router.store.RecordsOf("streams"));
}

// Guards against a resumption that fails because old records have expired.
TEST(StreamVersion, records_are_read_after_older_ones_expired) {
  AddUpstreams(old_ones, "v1", 2);
  AddUpstreams(new_ones, "v2", 2);
  router.Start();
  router.SendRequest("/chat/x", {}, "r-1");
  Settle();
  router.store.Compact("streams");
  const std::string answer = Resume("/chat/y", "r-3", "r-2");
  CHECK(Has(answer, "it has no record"));
}

namespace {

// The last heartbeat of a router that listed version v1 of a service.
std::string LastHeartbeat(std::chrono::seconds age) {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  v1::RouterBeat beat;
  beat.set_epoch(1);
  beat.set_sequence(1);
  beat.set_versions_listed_at_s(
      std::chrono::duration_cast<std::chrono::seconds>(now - age).count());
  v1::ServiceVersions& stated = *beat.add_service_versions();
  stated.set_service("chat");
  stated.add_versions("v1");
  return beat.SerializeAsString();
}

}  // namespace

// Guards against text that is joined from two versions: the only version is
// replaced while all routers are down.
TEST(StreamVersion, a_version_that_was_replaced_before_a_start_gets_no_rest) {
  AddUpstreams(new_ones, "v2", 2);
  router.store.Put("routers", "router-2",
                   LastHeartbeat(std::chrono::seconds(3)));
  router.Start();
  const std::string refused = Resume("/chat/x", "r-2", "r-1");
  CHECK(Has(refused, "HTTP/1.1 503"));
  CHECK(Has(refused, "version"));
}

// Guards against refusals because of a router that was removed long ago.
TEST(StreamVersion, a_heartbeat_of_long_ago_does_not_count_at_a_start) {
  AddUpstreams(new_ones, "v2", 2);
  router.store.Put("routers", "router-2", LastHeartbeat(std::chrono::hours(1)));
  router.Start();
  CHECK(Has(Resume("/chat/x", "r-2", "r-1"), "HTTP/1.1 200"));
}

TEST(StreamVersion, a_heartbeat_states_the_versions_of_each_service) {
  AddUpstreams(old_ones, "v1", 1);
  AddUpstreams(new_ones, "v2", 1);
  router.Start();
  Settle();
  CHECK(router.Until([&] {
    v1::RouterBeat beat;
    beat.ParseFromString(router.store.Newest("routers", "router-1"));
    return beat.service_versions_size() == 1 &&
           beat.service_versions(0).versions_size() == 2;
  }));
}

// Guards against a stream of two versions: the second is not in the table yet.
TEST(StreamVersion, a_router_whose_table_is_behind_gives_no_rest) {
  AddUpstreams(old_ones, "v1", 2);
  StartBoth();
  SwallowReadsOfTable();
  LoseWrites();
  AddUpstreams(new_ones, "v2", 6);
  const std::string rest = Resume("/chat/x", "r-x", BeginAtPeer("v2"));
  CHECK(!Has(rest, "data: v1"));
  CHECK(Has(rest, "HTTP/1.1 503"));
  CHECK(Has(rest, "table of upstreams is not current"));
  CHECK(Has(rest, "Retry-After"));
}

// Guards against refusals that outlast the lack of a current table.
TEST(StreamVersion, streams_are_resumed_once_the_table_is_current) {
  AddUpstreams(old_ones, "v1", 2);
  StartBoth();
  const std::string stream = BeginAtPeer("v1");
  SwallowReadsOfTable();
  CHECK(Has(Resume("/chat/x", "r-x", stream), "HTTP/1.1 503"));
  router.store.swallows = {};
  router.io.run_for(std::chrono::milliseconds(2'500));
  CHECK(Has(Resume("/chat/x", "r-y", stream), "HTTP/1.1 200"));
}

// Guards against a pause between reads in which a second version is not known.
TEST(StreamVersion, the_table_is_read_before_one_version_is_assumed) {
  AddUpstreams(old_ones, "v1", 2);
  router.Start();
  Settle();
  router.SetUpstream("v1-0", "chat " + old_ones[0]->address() + " 0 fd-b v1");
  router.io.run_for(std::chrono::milliseconds(20));
  AddUpstreams(new_ones, "v2", 1);
  CHECK(Has(Resume("/chat/x", "r-2", "r-1"), "it has no record"));
}
