#include "coppervalve/gateway/stream.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>    // seconds
#include <memory>    // make_shared
#include <optional>  // optional
#include <string>    // string

using namespace coppervalve::gateway;
using boost::asio::ip::tcp;

// clang-format off
TEST_GROUP(Stream) {
  boost::asio::io_context io;
  tcp::socket peer{io};
  StreamRef stream;
  std::string received;
  std::optional<StreamEnd> end;

  void setup() override {
    tcp::acceptor acceptor(
        io, {boost::asio::ip::address_v4::loopback(), 0});
    peer.connect(acceptor.local_endpoint());
    stream = std::make_shared<Stream>(acceptor.accept());
    stream->Start(
        {[this](std::string_view bytes) { received.append(bytes); },
         [this](StreamEnd how) { end = how; },
         {}});
  }

  void teardown() override { stream->Close(); }

  // The stream has handled nothing of this when it returns.
  void SendAndReset(const std::string& bytes) {
    boost::asio::write(peer, boost::asio::buffer(bytes));
    peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
  }

  void CheckEndsWithReset() {
    while (!end && io.run_one_for(std::chrono::seconds(2)) != 0) {
    }
    STRCMP_EQUAL("part", received.c_str());
    CHECK(end.has_value());
    CHECK(*end == StreamEnd::kReset);
  }
};
// clang-format on

TEST(Stream, an_end_of_file_is_orderly) {
  boost::asio::write(peer, boost::asio::buffer(std::string("part")));
  peer.close();
  while (!end && io.run_one_for(std::chrono::seconds(2)) != 0) {
  }
  STRCMP_EQUAL("part", received.c_str());
  CHECK(end == StreamEnd::kOrderly);
}

TEST(Stream, a_reset_that_a_read_finds_is_reported) {
  SendAndReset("part");
  CheckEndsWithReset();
}

// Guards against a reset that a write finds first, and that then is reported as
// an orderly end.
TEST(Stream, a_reset_that_a_write_finds_is_reported) {
  SendAndReset("part");
  stream->Send("more");
  CheckEndsWithReset();
}

// Guards against the same where bytes are sent once more after the failure.
TEST(Stream, nothing_is_sent_after_a_failed_write) {
  SendAndReset("part");
  stream->Send("more");
  stream->Send("more");
  CHECK_EQUAL(0, stream->sent());
  CHECK_EQUAL(0, stream->unsent());
  CheckEndsWithReset();
}

// Guards against a reset that a look at the connection finds first, and that
// then is reported as an orderly end.
TEST(Stream, a_reset_that_a_look_at_the_connection_finds_is_reported) {
  SendAndReset({});
  CHECK(stream->PeerHasClosed());
  received = "part";
  CheckEndsWithReset();
}
