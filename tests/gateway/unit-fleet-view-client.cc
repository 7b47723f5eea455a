#include "coppervalve/gateway/fleet_view_client.h"

#include <CppUTest/TestHarness.h>

#include <chrono>  // milliseconds
#include <memory>  // make_unique
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/net/clock.h"

using namespace coppervalve;
using namespace coppervalve::gateway;

// clang-format off
TEST_GROUP(FleetViewClient) {
  boost::asio::io_context io;
  std::vector<std::string> peers{"10.0.0.2:1"};
  std::vector<v1::FleetViewAsk> sent;
  std::vector<entry::FleetView> received;
  FleetViewClient client{io, "10.0.0.1:1",
                   {[this] { return peers; },
                    [this](const std::string&, const v1::FleetViewAsk& ask) {
                      sent.push_back(ask);
                    },
                    [this](const entry::FleetView& view) {
                      received.push_back(view);
                    }},
                   [] { return uint64_t{7}; }};

  void setup() override {
    client.SetEpoch(3);
    client.SetActive(true);
  }
  void Pass(int millis) {
    io.restart();
    io.run_for(std::chrono::milliseconds(millis));
  }
  static entry::FleetView ViewOf(int active) {
    entry::FleetView view;
    for (int i = 0; i < active; ++i) {
      const std::string number = std::to_string(i);
      view.active[core::RouterId("router-" + number)] = {
          "10.1.0.1:" + number, "10.2.0.1:" + number};
    }
    view.next = {core::RouterId("next-1"), core::RouterId("next-2")};
    view.live = 985;
    view.known = 1'000;
    view.upstreams = 9'998;
    return view;
  }
};
// clang-format on

TEST(FleetViewClient, a_view_survives_conversion_to_a_message) {
  const entry::FleetView view = ViewOf(3);
  client.OnAnswer(ToFleetViewAnswer(sent.at(0), view));
  CHECK_EQUAL(1, received.size());
  CHECK(received[0].active == view.active);
  CHECK(received[0].next == view.next);
  CHECK_EQUAL(985, received[0].live);
  CHECK_EQUAL(1'000, received[0].known);
  CHECK_EQUAL(9'998, received[0].upstreams);
  CHECK(client.Age(net::BootNow()) < std::chrono::seconds(1));
}

TEST(FleetViewClient, without_an_answer_another_router_is_asked_soon) {
  // The router asked may have failed: until the view is renewed, callers are
  // directed to it.
  Pass(500);
  CHECK(sent.size() >= 3);
  CHECK(client.Age(net::BootNow()) == core::Duration::max());
}

TEST(FleetViewClient, an_answered_question_is_not_repeated_at_once) {
  client.OnAnswer(ToFleetViewAnswer(sent.at(0), ViewOf(3)));
  Pass(500);
  CHECK_EQUAL(1, sent.size());
}

TEST(FleetViewClient,
     late_or_duplicated_replies_and_those_to_an_earlier_start_are_ignored) {
  v1::FleetViewAnswer answer = ToFleetViewAnswer(sent.at(0), ViewOf(3));
  answer.set_ask_epoch(2);
  client.OnAnswer(answer);
  answer.set_ask_epoch(3);
  answer.set_ask_id(answer.ask_id() + 1);
  client.OnAnswer(answer);
  CHECK(received.empty());
  answer.set_ask_id(sent[0].id());
  client.OnAnswer(answer);
  client.OnAnswer(answer);
  CHECK_EQUAL(1, received.size());
}

TEST(FleetViewClient, a_view_without_active_routers_is_no_view) {
  client.OnAnswer(ToFleetViewAnswer(sent.at(0), ViewOf(0)));
  CHECK(received.empty());
}

TEST(FleetViewClient, a_large_active_set_is_divided_among_those_that_ask) {
  // If all standbys directed callers to the same part of the active routers,
  // these would be overloaded.
  v1::FleetViewAsk other = sent.at(0);
  other.set_reply_address("10.9.0.9:1");
  const v1::FleetViewAnswer one = ToFleetViewAnswer(sent[0], ViewOf(700));
  const v1::FleetViewAnswer two = ToFleetViewAnswer(other, ViewOf(700));
  CHECK_EQUAL(64, one.active_size());
  CHECK_EQUAL(64, two.active_size());
  CHECK(one.active(0).router() != two.active(0).router());
  CHECK(one.ByteSizeLong() < 8'192);
}

TEST(FleetViewClient, a_stopped_client_asks_nobody) {
  client.SetActive(false);
  const size_t before = sent.size();
  Pass(400);
  CHECK_EQUAL(before, sent.size());
  client.OnAnswer(ToFleetViewAnswer(sent[0], ViewOf(3)));
  CHECK(received.empty());
}

// Guards against a view that answers an earlier start of this router: before
// their epochs are known, two starts differ by the ids of their messages only.
TEST(FleetViewClient,
     an_answer_to_an_earlier_start_without_an_epoch_is_ignored) {
  std::vector<v1::FleetViewAsk> asks;
  int views = 0;
  const auto start = [&](uint64_t random) {
    auto made = std::make_unique<FleetViewClient>(
        io, "127.0.0.1:9",
        FleetViewClient::Hooks{
            [] { return std::vector<std::string>{"peer"}; },
            [&](const std::string&, const v1::FleetViewAsk& ask) {
              asks.push_back(ask);
            },
            [&](const entry::FleetView&) { ++views; }},
        [random] { return random; });
    made->SetActive(true);
    return made;
  };
  const auto earlier = start(uint64_t{1} << 40);
  const auto later = start(uint64_t{1} << 50);
  later->OnAnswer(ToFleetViewAnswer(asks.at(0), ViewOf(1)));
  CHECK_EQUAL(0, views);
  later->OnAnswer(ToFleetViewAnswer(asks.at(1), ViewOf(1)));
  CHECK_EQUAL(1, views);
}
