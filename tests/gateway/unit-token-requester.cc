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
  std::vector<std::string> asked_donors;  ///< addresses
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
      asked_donors.push_back(address);
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
    requester.OnTransfer(gift);
  }
};
// clang-format on

TEST(TokenRequester, concurrent_callers_share_one_request) {
  CHECK(RequestTokens());
  CHECK(RequestTokens());
  CHECK_EQUAL(1, asks.size());
  Answer(0, 500);
  CHECK_EQUAL(2, done);
  CHECK_EQUAL(500, tokens);
}

TEST(TokenRequester, asks_the_next_router_when_one_has_no_tokens_to_spare) {
  CHECK(RequestTokens());
  Answer(0, 0);
  CHECK_EQUAL(2, asked_donors.size());
  STRCMP_EQUAL("b", asked_donors[1].c_str());
  Answer(1, 100);
  CHECK_EQUAL(1, done);
  CHECK_EQUAL(100, tokens);
}

TEST(TokenRequester, a_duplicated_reply_counts_once) {
  // A duplicated datagram must not credit its tokens twice.
  CHECK(RequestTokens());
  Answer(0, 500);
  Answer(0, 500);
  CHECK_EQUAL(500, tokens);
}

TEST(TokenRequester, a_reply_to_an_earlier_start_is_ignored) {
  CHECK(RequestTokens());
  requester.SetEpoch(4);
  Answer(0, 500);
  CHECK_EQUAL(0, tokens);
}

TEST(TokenRequester, a_late_reply_serves_the_next_request) {
  CHECK(RequestTokens());
  io.run_for(kBeyondAllTimeouts);
  CHECK_EQUAL(1, done);
  CHECK_EQUAL(2, asks.size());
  Answer(0, 500);
  CHECK_EQUAL(500, tokens);
}

TEST(TokenRequester, after_no_reply_requests_fail_immediately_for_a_while) {
  // Failure: while all routers are partitioned, each refusal is delayed by some
  // tens of milliseconds, because each request waits for replies that cannot
  // arrive.
  CHECK(RequestTokens());
  io.run_for(kBeyondAllTimeouts);
  CHECK_FALSE(RequestTokens());
  Answer(1, 0);
  CHECK(RequestTokens());
}

TEST(TokenRequester, without_donors_a_request_fails_immediately) {
  donors.clear();
  CHECK_FALSE(RequestTokens());
  CHECK_EQUAL(0, done);
}

// Guards against spending tokens twice: a donor takes the request for a repeat
// of one that an earlier start made before it had an epoch either.
TEST(TokenRequester, requests_nothing_before_its_epoch_is_known) {
  TokenRequester early(io, "router-1", "127.0.0.1:9", Hooks());
  CHECK_FALSE(
      early.RequestTokens(kGate, core::Tokens(100), [this] { ++done; }));
  CHECK_EQUAL(0, asks.size());
}
