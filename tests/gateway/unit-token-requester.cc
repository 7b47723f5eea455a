#include "coppervalve/gateway/token_requester.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/io_context.hpp>
#include <chrono>  // milliseconds
#include <string>  // string
#include <vector>  // vector

using namespace coppervalve;
using namespace coppervalve::gateway;

namespace {

const core::AccountId kGate("gate");
constexpr std::chrono::milliseconds kBeyondAllTimeouts{200};

}  // namespace

// clang-format off
TEST_GROUP(TokenRequester) {
  boost::asio::io_context io;
  std::vector<std::string> donors{"a", "b"};
  std::vector<std::string> asked;  ///< addresses
  std::vector<v1::TokenAsk> asks;
  int64_t tokens = 0;
  int done = 0;
  TokenRequester requester{io, "router-1", "127.0.0.1:9", Hooks()};

  void setup() override { requester.SetEpoch(3); }
  TokenRequester::Hooks Hooks() {
    TokenRequester::Hooks hooks;
    hooks.donors = [this](const core::AccountId&, core::Tokens) {
      return donors;
    };
    hooks.wanted = [](const core::AccountId&, core::Tokens least) {
      return least;
    };
    hooks.send = [this](const std::string& address, const v1::TokenAsk& ask) {
      asked.push_back(address);
      asks.push_back(ask);
    };
    hooks.on_tokens = [this](const core::AccountId&, core::Tokens given) {
      tokens += given.value();
    };
    return hooks;
  }
  bool RequestTokens() {
    return requester.RequestTokens(kGate, core::Tokens(100), [this] { ++done; });
  }
  void Answer(size_t ask, int64_t given) {
    v1::TokenGift gift;
    gift.set_ask_epoch(asks.at(ask).epoch());
    gift.set_ask_id(asks.at(ask).id());
    gift.set_tokens(given);
    requester.OnGift(gift);
  }
};
// clang-format on

TEST(TokenRequester, those_who_wait_share_one_ask) {
  CHECK(RequestTokens());
  CHECK(RequestTokens());
  CHECK_EQUAL(1, asks.size());
  Answer(0, 500);
  CHECK_EQUAL(2, done);
  CHECK_EQUAL(500, tokens);
}

TEST(TokenRequester, a_router_that_can_spare_none_is_followed_by_the_next) {
  CHECK(RequestTokens());
  Answer(0, 0);
  CHECK_EQUAL(2, asked.size());
  STRCMP_EQUAL("b", asked[1].c_str());
  Answer(1, 100);
  CHECK_EQUAL(1, done);
  CHECK_EQUAL(100, tokens);
}

TEST(TokenRequester, a_gift_that_arrives_twice_counts_once) {
  // A caller's tokens are paid twice over: the datagram came in two copies.
  CHECK(RequestTokens());
  Answer(0, 500);
  Answer(0, 500);
  CHECK_EQUAL(500, tokens);
}

TEST(TokenRequester, a_gift_to_an_earlier_start_is_not_taken) {
  CHECK(RequestTokens());
  requester.SetEpoch(4);
  Answer(0, 500);
  CHECK_EQUAL(0, tokens);
}

TEST(TokenRequester, a_late_gift_serves_the_next_request) {
  CHECK(RequestTokens());
  io.run_for(kBeyondAllTimeouts);
  CHECK_EQUAL(1, done);
  CHECK_EQUAL(2, asks.size());
  Answer(0, 500);
  CHECK_EQUAL(500, tokens);
}

TEST(TokenRequester, where_nobody_answers_no_request_is_held_for_a_while) {
  // In a cut of all routers each refusal came some tens of milliseconds late.
  CHECK(RequestTokens());
  io.run_for(kBeyondAllTimeouts);
  CHECK_FALSE(RequestTokens());
  Answer(1, 0);
  CHECK(RequestTokens());
}

TEST(TokenRequester, with_nobody_to_ask_the_answer_is_no_at_once) {
  donors.clear();
  CHECK_FALSE(RequestTokens());
  CHECK_EQUAL(0, done);
}
