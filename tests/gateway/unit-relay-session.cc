#include <CppUTest/TestHarness.h>

#include <algorithm>  // count
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>    // milliseconds, seconds
#include <memory>    // unique_ptr
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/gateway/relay_server.h"
#include "coppervalve/gateway/relay_tunnel.h"
#include "gateway_fixture.h"

using namespace coppervalve;
using namespace coppervalve::gateway;
using namespace coppervalve::gateway::testing;
using boost::asio::ip::tcp;

namespace {

constexpr const char* kLastChunk = "0\r\n\r\n";

}  // namespace

/// A relay between sockets that the test drives, so that it decides what the
/// relay finds in which order.
// clang-format off
TEST_GROUP(RelaySession) {
  boost::asio::io_context io;
  Dialer dialer{io};
  tcp::acceptor listener{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket upstream{io};
  tcp::socket router{io};
  std::unique_ptr<RelayServer> server;

  void setup() override {
    const std::string address = FreeAddress();
    const std::string upstream_address =
        "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
    server = std::make_unique<RelayServer>(
        io, dialer, 10,
        RelayServer::Hooks{
            [upstream_address](const core::UpstreamId&) {
              return std::optional(upstream_address);
            },
            [](bool) {}, [](const core::UpstreamId&, ConnectResult) {}});
    CHECK(core::IsOk(server->Listen(address)));
    const size_t colon = address.find(':');
    router.connect({boost::asio::ip::address_v4::loopback(),
                    static_cast<uint16_t>(
                        std::stoi(address.substr(colon + 1)))});
    Write(router, RelayRequest(core::UpstreamId("one")));
    listener.async_accept(upstream, [](const auto& /*code*/) {});
    RunUntil([this] { return upstream.is_open() && router.available() != 0; });
  }

  template <typename Condition>
  void RunUntil(Condition condition) {
    for (int i = 0; i < 400 && !condition(); ++i) {
      io.run_one_for(std::chrono::milliseconds(5));
    }
    CHECK(condition());
  }

  static void Write(tcp::socket& socket, const std::string& bytes) {
    boost::asio::write(socket, boost::asio::buffer(bytes));
  }

  // @return what the router gets until its connection ends
  std::string ReadToEnd() {
    std::string bytes;
    bool ended = false;
    boost::asio::async_read(
        router, boost::asio::dynamic_buffer(bytes),
        [&ended](const auto& /*code*/, size_t) { ended = true; });
    RunUntil([&ended] { return ended; });
    return bytes;
  }
};
// clang-format on

TEST(RelaySession, an_orderly_end_is_relayed_as_the_last_chunk) {
  Write(upstream, "part");
  upstream.close();
  CHECK(Has(ReadToEnd(), Chunk("part") + kLastChunk));
}

// Guards against an answer that is reset while the upload is written, and that
// another router takes for a complete one.
TEST(RelaySession, a_reset_that_a_write_finds_is_not_relayed_as_an_end) {
  Write(router, "upload");
  Write(upstream, "part");
  upstream.set_option(boost::asio::socket_base::linger(true, 0));
  upstream.close();
  CHECK_FALSE(Has(ReadToEnd(), kLastChunk));
}

// Guards against an answer that was received whole, and that a reset after it
// takes from another router.
TEST(RelaySession, what_came_before_a_reset_is_relayed) {
  const std::string answer(800'000, 'x');
  bool written = false;
  boost::asio::async_write(
      upstream, boost::asio::buffer(answer),
      [&written](const auto& /*code*/, size_t) { written = true; });
  RunUntil([&written] { return written; });
  // Until the relay has read it.
  io.run_for(std::chrono::milliseconds(100));
  upstream.set_option(boost::asio::socket_base::linger(true, 0));
  upstream.close();
  io.run_for(std::chrono::milliseconds(20));
  const std::string relayed = ReadToEnd();
  const auto count = std::count(relayed.begin(), relayed.end(), 'x');
  CHECK_EQUAL(answer.size(), static_cast<size_t>(count));
  CHECK_FALSE(Has(relayed, kLastChunk));
}
