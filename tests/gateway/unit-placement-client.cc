#include "coppervalve/gateway/placement_client.h"

#include <CppUTest/TestHarness.h>

#include <chrono>    // milliseconds
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
  std::optional<entry::Placement> told;
  entry::PlacementQuery query;
  PlacementClient client{io, "10.0.0.1:1",
                   {[this] { return peers; },
                    [this](const std::string&, const v1::PlaceAsk& ask) {
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
  }
  void Ask() {
    client.Ask(query, [this](const entry::Placement& one) { told = one; });
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
    return placement;
  }
};
// clang-format on

TEST(PlacementClient, what_is_asked_and_answered_comes_through_messages) {
  Ask();
  CHECK_EQUAL(1, sent.size());
  const entry::PlacementQuery read = ToPlacementQuery(sent[0]);
  CHECK(read.service == query.service && read.engine);
  CHECK(read.shared_prefix == query.shared_prefix);
  CHECK(read.prompt == query.prompt && read.exclude == query.exclude);
  client.OnAnswer(ToPlaceAnswer(sent[0], Chosen()));
  CHECK(told && told->upstream);
  STRCMP_EQUAL("one", told->upstream->entry.id.value().c_str());
  STRCMP_EQUAL("10.0.1.1:80", told->upstream->entry.address.c_str());
}

TEST(PlacementClient, a_lost_datagram_is_sent_again) {
  Ask();
  Pass(60);
  CHECK_EQUAL(2, sent.size());
  client.OnAnswer(ToPlaceAnswer(sent[0], Chosen()));
  CHECK(told && told->upstream);
}

TEST(PlacementClient, one_that_knows_none_sends_the_ask_on) {
  Ask();
  client.OnAnswer(ToPlaceAnswer(sent[0], {}));
  CHECK_EQUAL(2, sent.size());
  CHECK_FALSE(told.has_value());
}

TEST(PlacementClient, with_nobody_who_answers_the_asker_is_told_none) {
  Ask();
  Pass(200);
  CHECK(told && !told->upstream);
  CHECK_EQUAL(3, sent.size());
  told.reset();
  peers.clear();
  Ask();
  CHECK(told && !told->upstream);
}

TEST(PlacementClient,
     answers_that_come_late_twice_or_to_an_earlier_start_are_dropped) {
  Ask();
  v1::PlaceAnswer answer = ToPlaceAnswer(sent[0], Chosen());
  answer.set_ask_epoch(2);
  client.OnAnswer(answer);
  CHECK_FALSE(told.has_value());
  answer.set_ask_epoch(3);
  client.OnAnswer(answer);
  CHECK(told.has_value());
  told.reset();
  client.OnAnswer(answer);
  CHECK_FALSE(told.has_value());
}
