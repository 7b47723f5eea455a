#include "coppervalve/gateway/http_caller.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/steady_timer.hpp>
#include <chrono>    // milliseconds, seconds
#include <memory>    // make_shared
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move

#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;

namespace {

constexpr std::chrono::milliseconds kStep{20};

/// @brief Sends a text in parts, one each step, as a small link does.
void SendSlowly(boost::asio::io_context& io,
                const StreamRef& stream,
                std::string text,
                size_t part) {
  if (text.empty()) {
    return;
  }
  stream->Send(text.substr(0, part));
  text.erase(0, part);
  const auto timer = std::make_shared<boost::asio::steady_timer>(io, kStep);
  timer->async_wait([&io, stream, text = std::move(text), part,
                     timer](const boost::system::error_code& /*code*/) {
    SendSlowly(io, stream, text, part);
  });
}

}  // namespace

// clang-format off
TEST_GROUP(HttpCaller) {
  boost::asio::io_context io;
  ScriptedUpstream store{io};
  std::shared_ptr<HttpCaller> caller =
      std::make_shared<HttpCaller>(io, store.address());
  std::optional<core::Result<HttpReply>> result;

  HttpCall Get() {
    HttpCall call;
    call.method = "GET";
    call.target = "/x";
    call.patience.first_byte = kStep * 3;
    call.patience.idle = std::chrono::seconds(5);
    call.patience.total = std::chrono::seconds(20);
    return call;
  }
  void Make(const HttpCall& call) {
    caller->Call(call, [this](const core::Result<HttpReply>& answer) {
      result = answer;
    });
    constexpr int kMostSteps = 10'000;
    for (int i = 0; i < kMostSteps && !result; ++i) {
      io.run_one();
    }
    CHECK(result.has_value());
  }
};
// clang-format on

TEST(HttpCaller, an_answer_that_is_coming_is_waited_for) {
  // A router on a small link never gets the configuration: what is read of it
  // in the time of a call is thrown away, and asked for again.
  const std::string body(1'000, 'x');
  store.Answer([&](const StreamRef& stream, const std::string& /*text*/) {
    SendSlowly(io, stream,
               "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body, 100);
  });
  Make(Get());
  CHECK(core::IsOk(*result));
  CHECK_EQUAL(body.size(), core::Value(*result).body.size());
}

TEST(HttpCaller, an_answer_that_never_begins_is_given_up_soon) {
  store.Answer([](const StreamRef& /*stream*/, const std::string& /*text*/) {});
  Make(Get());
  CHECK_FALSE(core::IsOk(*result));
}

TEST(HttpCaller, an_answer_that_stops_midway_is_given_up) {
  store.Answer([](const StreamRef& stream, const std::string& /*text*/) {
    stream->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nx");
  });
  HttpCall call = Get();
  call.patience.idle = kStep;
  Make(call);
  CHECK_FALSE(core::IsOk(*result));
  CHECK(core::ErrorId::kLogUnavailable == core::Failure(*result).id);
}

TEST(HttpCaller, an_answer_without_an_end_is_not_kept) {
  store.Answer([](const StreamRef& stream, const std::string& /*text*/) {
    stream->Send("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n" +
                 std::string(100'000, 'x'));
  });
  HttpCall call = Get();
  call.most_bytes = 50'000;
  Make(call);
  CHECK_FALSE(core::IsOk(*result));
  STRCMP_EQUAL("the answer is too long", core::Failure(*result).detail.c_str());
}
