#include <CppUTest/TestHarness.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <chrono>   // milliseconds, steady_clock
#include <memory>   // shared_ptr
#include <string>   // string
#include <thread>   // sleep_for
#include <utility>  // move
#include <vector>   // vector

#include "coppervalve/net/peer_link.h"
#include "unit-peer-relay.h"
#include "unit-peer-support.h"

using namespace coppervalve;
using namespace coppervalve::net;
using namespace coppervalve::net::testing;

namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

// A peer that accepts and never reads or answers; it may send one text first.
class SilentPeer {
 public:
  SilentPeer(boost::asio::io_context& io, std::string greeting)
      : m_greeting(std::move(greeting)),
        m_acceptor(boost::asio::make_strand(io), FreePort()) {
    Accept();
  }
  ~SilentPeer() {
    Awaited<bool> stopped;
    boost::asio::post(m_acceptor.get_executor(), [this, stopped]() mutable {
      m_acceptor.close();
      stopped.Set(true);
    });
    stopped.Get();
  }
  SilentPeer(const SilentPeer&) = delete;
  SilentPeer& operator=(const SilentPeer&) = delete;

  std::string address() const {
    return AddressOf(m_acceptor.local_endpoint().port());
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this](error_code error, tcp::socket socket) {
      if (error) {
        return;
      }
      boost::asio::write(socket, boost::asio::buffer(m_greeting), error);
      m_sockets.push_back(std::move(socket));
      Accept();
    });
  }

  const std::string m_greeting;
  tcp::acceptor m_acceptor;
  std::vector<tcp::socket> m_sockets;
};

// An empty SETTINGS frame, which a client waits for before it sends.
const std::string kSettingsFrame("\0\0\0\4\0\0\0\0\0", 9);

}  // namespace

TEST_GROUP(PeerSilence) {
  IoThreads m_threads;
  PeerSettings m_settings;

  void setup() override {
    m_settings.ping_interval = std::chrono::milliseconds(100);
    m_settings.silence_deadline = std::chrono::milliseconds(300);
    m_settings.connect_timeout = std::chrono::milliseconds(300);
  }
  ForwardOutcome OutcomeAt(const std::string& address) {
    PeerClient client(m_threads.io(), kSecret, m_settings);
    AnswerCollector collector;
    client.StartForward(address, SomeHead(), "q", collector.Callbacks());
    return collector.Get().outcome;
  }
};

// The kernel of a hung peer accepts the connection, but its process sends
// nothing. The forward fails soon and counts as not sent, so that the request
// may run elsewhere: the client sends nothing before the peer's SETTINGS.
TEST(PeerSilence, nothing_is_sent_to_a_peer_that_never_sends_settings) {
  SilentPeer peer(m_threads.io(), "");
  const ForwardOutcome outcome = OutcomeAt(peer.address());
  CHECK_FALSE(outcome.complete);
  CHECK_FALSE(outcome.sent);
  CHECK_TRUE(outcome.error.id == core::ErrorId::kPeerUnreachable);
}

// The peer sends SETTINGS, accepts the request and goes silent. The kernel
// never reports an error; the unanswered PING closes the connection, and the
// forward fails as sent, because the peer may have run it.
TEST(PeerSilence, a_peer_that_goes_silent_fails_its_streams_as_sent) {
  SilentPeer peer(m_threads.io(), kSettingsFrame);
  const ForwardOutcome outcome = OutcomeAt(peer.address());
  CHECK_FALSE(outcome.complete);
  CHECK_TRUE(outcome.sent);
  CHECK_TRUE(outcome.error.id == core::ErrorId::kPeerUnreachable);
}

// A forward is half answered when a middlebox drops the connection's state.
// Both ends receive nothing more, although the peer works: the first forward
// fails, the peer gets a cancellation, and the next forward is
// answered over a new connection.
TEST(PeerSilence, a_connection_that_goes_silent_is_replaced_by_a_new_one) {
  Awaited<std::shared_ptr<ForwardReply>> running;
  Awaited<bool> cancelled;
  PeerServerCallbacks callbacks;
  callbacks.on_forward = [&](const ForwardHead& head, const std::string&,
                             std::shared_ptr<ForwardReply> reply) {
    if (head.path != "/first") {
      SendCompleteReply(*reply, "second answer");
      return;
    }
    reply->OnCancelled([&] { cancelled.Set(true); });
    reply->Head(ReplyHead{});
    reply->Body("half", {});
    running.Set(std::move(reply));
  };
  PeerServer server(m_threads.io(), kLocalhost, 0, kSecret, callbacks,
                    m_settings);
  Listen(server);
  TcpRelay relay(server.port());
  PeerClient client(m_threads.io(), kSecret, m_settings);
  AnswerCollector first;
  client.StartForward(relay.address(), SomeHead("/first"), "q",
                      first.Callbacks());
  first.AwaitHead();
  relay.LoseOpenConnections();
  const Answer lost = first.Get();
  CHECK_FALSE(lost.outcome.complete);
  CHECK_TRUE(lost.outcome.sent);
  CHECK_TRUE(lost.outcome.error.id == core::ErrorId::kPeerUnreachable);
  AnswerCollector second;
  client.StartForward(relay.address(), SomeHead("/second"), "q",
                      second.Callbacks());
  const Answer found = second.Get();
  CHECK_TRUE(found.outcome.complete);
  CHECK_EQUAL(std::string("second answer"), found.body);
  CHECK_TRUE(cancelled.Get());
  running.Get().reset();
}

// A model needs longer than the silence deadline for its first token. The PINGs
// are answered meanwhile, so the connection does not count as silent.
TEST(PeerSilence, a_slow_answer_does_not_count_as_silence) {
  Awaited<std::shared_ptr<ForwardReply>> running;
  PeerServerCallbacks callbacks;
  callbacks.on_forward = [&](const ForwardHead&, const std::string&,
                             std::shared_ptr<ForwardReply> reply) {
    running.Set(std::move(reply));
  };
  PeerServer server(m_threads.io(), kLocalhost, 0, kSecret, callbacks,
                    m_settings);
  const std::string address = Listen(server);
  PeerClient client(m_threads.io(), kSecret, m_settings);
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), "q", collector.Callbacks());
  const std::shared_ptr<ForwardReply> reply = running.Get();
  std::this_thread::sleep_for(4 * m_settings.silence_deadline);
  SendCompleteReply(*reply, "late");
  const Answer answer = collector.Get();
  CHECK_TRUE(answer.outcome.complete);
  CHECK_EQUAL(std::string("late"), answer.body);
}

// The peer's process has ended and its port refuses connections. After the
// first failure the next calls fail immediately instead of each trying to
// connect; when the peer is back, a call soon succeeds.
TEST(PeerSilence, a_restarted_peer_is_reached_again) {
  PeerServerCallbacks callbacks;
  callbacks.on_forward = [](const ForwardHead&, const std::string&,
                            const std::shared_ptr<ForwardReply>& reply) {
    SendCompleteReply(*reply, "back");
  };
  std::string address;
  uint16_t port = 0;
  {
    PeerServer earlier(m_threads.io(), kLocalhost, 0, kSecret, callbacks,
                       m_settings);
    address = Listen(earlier);
    port = earlier.port();
    Awaited<bool> closed;
    earlier.Close([&] { closed.Set(true); });
    closed.Get();
  }
  PeerClient client(m_threads.io(), kSecret, m_settings);
  const auto attempt = [&] {
    AnswerCollector collector;
    client.StartForward(address, SomeHead(), "q", collector.Callbacks());
    return collector.Get().outcome;
  };
  CHECK_FALSE(attempt().complete);
  PeerServer again(m_threads.io(), kLocalhost, port, kSecret, callbacks,
                   m_settings);
  CHECK_TRUE(core::IsOk(again.Listen()));
  const auto give_up = std::chrono::steady_clock::now() + kPatience;
  bool reached = false;
  while (!reached && std::chrono::steady_clock::now() < give_up) {
    reached = attempt().complete;
  }
  CHECK_TRUE(reached);
}
