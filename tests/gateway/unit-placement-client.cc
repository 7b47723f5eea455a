#include "coppervalve/gateway/placement_client.h"

#include <CppUTest/TestHarness.h>

#include <chrono>    // milliseconds
#include <memory>    // make_shared, make_unique
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

using namespace coppervalve;
using namespace coppervalve::gateway;

// clang-format off
TEST_GROUP(PlacementClient) {
  boost::asio::io_context io;
  std::vector<std::string> peers{"10.0.0.2:1"};
  std::vector<v1::PlaceAsk> sent;
  std::vector<std::string> asked;
  std::optional<entry::Placement> result;
  entry::PlacementQuery query;
  bool reaches_store = true;
  PlacementClient client{io, "10.0.0.1:1",
                   {[this] { return entry::PlacementPeers{peers, {}}; },
                    [this] { return reaches_store; },
                    [this](const std::string& peer, const v1::PlaceAsk& ask) {
                      asked.push_back(peer);
                      sent.push_back(ask);
                    }},
                   [] { return uint64_t{7}; }};

  void setup() override {
    client.SetEpoch(3);
    query.service = core::ServiceId("engines");
    query.engine = true;
    query.shared_prefix = "castle";
    query.prompt = core::Tokens(600);
    query.exclude = {core::UpstreamId("tried")};
    query.version = core::UpstreamVersion("v1");
    query.sole_version_only = true;
  }
  void RequestPlacement() {
    client.RequestPlacement(query, [this](const entry::Placement& one) { result = one; });
    io.restart();
    io.run_for(std::chrono::milliseconds(5));
  }
  void Pass(int millis) {
    io.restart();
    io.run_for(std::chrono::milliseconds(millis));
  }
  static entry::Placement Chosen() {
    entry::Placement placement;
    placement.upstream = std::make_shared<entry::Upstream>();
    placement.upstream->entry.id = core::UpstreamId("one");
    placement.upstream->entry.address = "10.0.1.1:80";
    placement.upstream->entry.version = core::UpstreamVersion("v1");
    placement.table.router = core::RouterId("router-2");
    placement.table.age = core::Duration(700'000);
    return placement;
  }
  static entry::Placement Outdated() {
    entry::Placement placement = Chosen();
    placement.table.outdated = true;
    return placement;
  }
};
// clang-format on

TEST(PlacementClient, query_and_placement_survive_conversion_to_messages) {
  RequestPlacement();
  CHECK_EQUAL(1, sent.size());
  const entry::PlacementQuery read = ToPlacementQuery(sent[0]);
  CHECK(read.service == query.service && read.engine);
  CHECK(read.shared_prefix == query.shared_prefix);
  CHECK(read.prompt == query.prompt && read.exclude == query.exclude);
  CHECK(read.version == query.version && read.sole_version_only);
  client.OnAnswer(ToPlaceAnswer(sent[0], Chosen()));
  CHECK(result && result->upstream);
  STRCMP_EQUAL("one", result->upstream->entry.id.value().c_str());
  STRCMP_EQUAL("10.0.1.1:80", result->upstream->entry.address.c_str());
  STRCMP_EQUAL("v1", result->upstream->entry.version.value().c_str());
  STRCMP_EQUAL("router-2", result->table.router.value().c_str());
  CHECK(core::Duration(700'000) == result->table.age);
  CHECK_EQUAL(1, result->table.routers_asked);
}

TEST(PlacementClient, a_request_without_a_reply_is_sent_again) {
  RequestPlacement();
  Pass(60);
  CHECK_EQUAL(2, sent.size());
  client.OnAnswer(ToPlaceAnswer(sent[0], Chosen()));
  CHECK(result && result->upstream);
}

TEST(PlacementClient, asks_another_peer_when_one_knows_no_upstream) {
  RequestPlacement();
  client.OnAnswer(ToPlaceAnswer(sent[0], {}));
  CHECK_EQUAL(2, sent.size());
  CHECK_FALSE(result.has_value());
}

TEST(PlacementClient,
     an_outdated_table_counts_only_if_no_peer_has_a_better_one) {
  // Failure: an active router that the store turns away names an upstream that
  // said seconds ago that it leaves.
  peers = {"10.0.0.2:1", "10.0.0.3:1"};
  RequestPlacement();
  client.OnAnswer(ToPlaceAnswer(sent[0], Outdated()));
  CHECK_EQUAL(2, sent.size());
  CHECK(asked[0] != asked[1]);
  CHECK_FALSE(result.has_value());
  entry::Placement better = Chosen();
  better.upstream->entry.id = core::UpstreamId("two");
  client.OnAnswer(ToPlaceAnswer(sent[1], better));
  CHECK(core::UpstreamId("two") == result->upstream->entry.id);
}

TEST(PlacementClient, an_outdated_table_is_used_in_an_outage_of_the_store) {
  reaches_store = false;
  RequestPlacement();
  client.OnAnswer(ToPlaceAnswer(sent[0], Outdated()));
  CHECK(core::UpstreamId("one") == result->upstream->entry.id);
  CHECK(result->table.outdated);
}

TEST(PlacementClient, an_outdated_table_is_not_used_while_the_store_answers) {
  RequestPlacement();
  client.OnAnswer(ToPlaceAnswer(sent[0], Outdated()));
  CHECK(result && !result->upstream);
}

TEST(PlacementClient, all_peers_are_asked_for_a_current_table) {
  // Failure: three routers in turn are turned away by the store, and a fourth
  // one that reads the table is not asked.
  peers = {"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1"};
  RequestPlacement();
  for (size_t i = 0; i < 3; ++i) {
    client.OnAnswer(ToPlaceAnswer(sent[i], Outdated()));
    CHECK_FALSE(result.has_value());
  }
  client.OnAnswer(ToPlaceAnswer(sent[3], Chosen()));
  CHECK(result && result->upstream && !result->table.outdated);
}

TEST(PlacementClient, a_late_reply_of_little_use_does_not_end_a_wait) {
  peers = {"10.0.0.2:1", "10.0.0.3:1"};
  RequestPlacement();
  Pass(60);
  CHECK_EQUAL(2, sent.size());
  client.OnAnswer(ToPlaceAnswer(sent[0], Outdated()));
  CHECK_FALSE(result.has_value());
  client.OnAnswer(ToPlaceAnswer(sent[1], Chosen()));
  CHECK(result && !result->table.outdated);
}

TEST(PlacementClient, without_any_reply_the_placement_is_empty) {
  RequestPlacement();
  Pass(200);
  CHECK(result && !result->upstream);
  CHECK_EQUAL(3, sent.size());
  result.reset();
  peers.clear();
  RequestPlacement();
  CHECK(result && !result->upstream);
}

TEST(PlacementClient,
     late_or_duplicated_replies_and_those_to_an_earlier_start_are_ignored) {
  RequestPlacement();
  v1::PlaceAnswer answer = ToPlaceAnswer(sent[0], Chosen());
  answer.set_ask_epoch(2);
  client.OnAnswer(answer);
  CHECK_FALSE(result.has_value());
  answer.set_ask_epoch(3);
  client.OnAnswer(answer);
  CHECK(result.has_value());
  result.reset();
  client.OnAnswer(answer);
  CHECK_FALSE(result.has_value());
}

// Guards against a placement for another request: before their epochs are
// known, two starts of a router differ by the ids of their messages only.
TEST(PlacementClient,
     an_answer_to_an_earlier_start_without_an_epoch_is_ignored) {
  const auto ask = [this](uint64_t random) {
    auto start = std::make_unique<PlacementClient>(
        io, "10.0.0.1:1",
        PlacementClient::Hooks{
            [this] {
              return entry::PlacementPeers{peers, {}};
            },
            [] { return true; },
            [this](const std::string&, const v1::PlaceAsk& message) {
              sent.push_back(message);
            }},
        [random] { return random; });
    start->RequestPlacement(
        query, [this](const entry::Placement& one) { result = one; });
    Pass(5);
    return start;
  };
  const auto earlier = ask(uint64_t{1} << 40);
  const auto later = ask(uint64_t{1} << 50);
  later->OnAnswer(ToPlaceAnswer(sent.at(0), Chosen()));
  CHECK_FALSE(result.has_value());
  later->OnAnswer(ToPlaceAnswer(sent.at(1), Chosen()));
  CHECK(result.has_value());
}
