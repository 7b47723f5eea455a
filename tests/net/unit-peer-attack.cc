#include <CppUTest/TestHarness.h>

#include <array>   // array
#include <atomic>  // atomic
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>   // shared_ptr
#include <mutex>    // mutex
#include <string>   // string
#include <utility>  // move

#include "coppervalve/net/peer_link.h"
#include "unit-peer-relay.h"
#include "unit-peer-support.h"

using namespace coppervalve;
using namespace coppervalve::net;
using namespace coppervalve::net::testing;

namespace {

const std::string kSender = "router-one";
const std::string kForged = "router-two";

v1::PeerMessage MessageOf(const std::string& sender) {
  v1::PeerMessage message;
  message.set_from_router(sender);
  message.mutable_transfer_send()->set_tokens(1000);
  return message;
}

}  // namespace

TEST_GROUP(PeerAttack) {
  IoThreads m_threads;
  PeerServerCallbacks m_callbacks;
  std::atomic<int> m_delivered{0};
  Awaited<bool> m_received;
  Awaited<core::Error> m_refused;

  void setup() override {
    m_callbacks.on_message = [this](const v1::PeerMessage&) {
      if (m_delivered.fetch_add(1) == 0) {
        m_received.Set(true);
      }
    };
    m_callbacks.on_refused = [this](core::Error error) {
      m_refused.Set(std::move(error));
    };
  }
};

// An attacker on the path records a connection with a transfer of tokens and
// replays it byte for byte to the same router. The proof is correct, but its
// nonce was seen before: the transfer is not delivered a second time.
TEST(PeerAttack, a_replayed_connection_delivers_nothing) {
  PeerServer server(m_threads.io(), kLocalhost, 0, kSecret, m_callbacks);
  Listen(server);
  std::mutex mutex;
  std::string recorded;
  TcpRelay relay(server.port(), [&](std::string& bytes) {
    const std::lock_guard lock(mutex);
    recorded += bytes;
  });
  PeerClient client(m_threads.io(), kSecret);
  client.SendMessage(relay.address(), MessageOf(kSender), {});
  m_received.Get();

  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(kLocalhost), server.port()});
  {
    const std::lock_guard lock(mutex);
    boost::asio::write(socket, boost::asio::buffer(recorded));
  }
  CHECK_TRUE(m_refused.Get().id == core::ErrorId::kPeerProtocol);
  CHECK_EQUAL(1, m_delivered.load());
}

// An attacker on the path changes the sender in a message. The proof covers the
// digest of the body, so the router refuses the changed body, and the sender
// gets an error.
TEST(PeerAttack, a_body_that_is_changed_in_transit_is_refused) {
  PeerServer server(m_threads.io(), kLocalhost, 0, kSecret, m_callbacks);
  Listen(server);
  TcpRelay relay(server.port(), [](std::string& bytes) {
    const size_t at = bytes.find(kSender);
    if (at != std::string::npos) {
      bytes.replace(at, kForged.size(), kForged);
    }
  });
  PeerClient client(m_threads.io(), kSecret);
  Awaited<core::Error> failed;
  client.SendMessage(
      relay.address(), MessageOf(kSender),
      [failed](core::Error error) mutable { failed.Set(std::move(error)); });
  CHECK_TRUE(m_refused.Get().id == core::ErrorId::kBadRequest);
  CHECK_TRUE(failed.Get().id == core::ErrorId::kPeerProtocol);
  CHECK_EQUAL(0, m_delivered.load());
}

// The secret is not set. Anybody could create a proof with an empty secret, so
// the router does not listen at all.
TEST(PeerAttack, a_server_without_a_secret_does_not_listen) {
  PeerServer server(m_threads.io(), kLocalhost, 0, "", m_callbacks);
  const core::Status status = server.Listen();
  CHECK_FALSE(core::IsOk(status));
  CHECK_TRUE(core::Failure(status).id == core::ErrorId::kSettingBadValue);
}

// Bytes that are not HTTP/2 arrive at the port. Only that connection is closed;
// others continue to work.
TEST(PeerAttack, a_connection_that_is_not_http2_is_closed) {
  PeerServer server(m_threads.io(), kLocalhost, 0, kSecret, m_callbacks);
  const std::string address = Listen(server);
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(kLocalhost), server.port()});
  const std::string garbage = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(garbage));
  boost::system::error_code error;
  std::array<char, 512> buffer{};
  while (!error) {
    socket.read_some(boost::asio::buffer(buffer), error);
  }
  PeerClient client(m_threads.io(), kSecret);
  client.SendMessage(address, MessageOf(kSender), {});
  CHECK_TRUE(m_received.Get());
}
