#include "coppervalve/gateway/http_client.h"

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

/// @brief Sends a text in parts, one each step, as over a slow link.
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
TEST_GROUP(HttpClient) {
  boost::asio::io_context io;
  ScriptedUpstream store{io};
  std::shared_ptr<HttpClient> caller =
      std::make_shared<HttpClient>(io, store.address());
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

TEST(HttpClient, a_response_that_arrives_slowly_is_not_timed_out) {
  // Failure: a router on a slow link never gets the configuration, because each
  // call times out, drops what it has read, and starts over.
  const std::string body(1'000, 'x');
  store.Answer([&](const StreamRef& stream, const std::string& /*text*/) {
    SendSlowly(io, stream,
               "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + body, 100);
  });
  Make(Get());
  CHECK(core::IsOk(*result));
  CHECK_EQUAL(body.size(), core::Value(*result).body.size());
}

TEST(HttpClient, a_response_that_never_begins_times_out_soon) {
  store.Answer([](const StreamRef& /*stream*/, const std::string& /*text*/) {});
  Make(Get());
  CHECK_FALSE(core::IsOk(*result));
}

TEST(HttpClient, a_response_that_stalls_times_out) {
  store.Answer([](const StreamRef& stream, const std::string& /*text*/) {
    stream->Send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nx");
  });
  HttpCall call = Get();
  call.patience.idle = kStep;
  Make(call);
  CHECK_FALSE(core::IsOk(*result));
  CHECK(core::ErrorId::kLogUnavailable == core::Failure(*result).id);
}

TEST(HttpClient, a_too_long_response_is_rejected) {
  store.Answer([](const StreamRef& stream, const std::string& /*text*/) {
    stream->Send("HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n" +
                 std::string(100'000, 'x'));
  });
  HttpCall call = Get();
  call.max_bytes = 50'000;
  Make(call);
  CHECK_FALSE(core::IsOk(*result));
  STRCMP_EQUAL("the answer is too long", core::Failure(*result).detail.c_str());
}

// Guards against an answer whose status is none and that is taken for the
// store's.
TEST(HttpClient, a_status_that_is_none_is_no_answer) {
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    store.Answer([status](const StreamRef& stream, const std::string& /*t*/) {
      stream->Send(std::string("HTTP/1.1 ") + status +
                   " X\r\nContent-Length: 2\r\n\r\nok");
    });
    result.reset();
    Make(Get());
    CHECK_FALSE_TEXT(core::IsOk(*result), status);
  }
}
