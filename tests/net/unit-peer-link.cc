#include <CppUTest/TestHarness.h>

#include <atomic>  // atomic
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <mutex>       // mutex
#include <string>      // string
#include <utility>     // move
#include <vector>      // vector

#include "coppervalve/net/peer_link.h"
#include "unit-peer-support.h"

using namespace coppervalve;
using namespace coppervalve::net;
using namespace coppervalve::net::testing;

namespace {

constexpr size_t kMebibyte = 1U << 20U;

v1::PeerMessage SomeMessage(uint64_t serial) {
  v1::PeerMessage message;
  message.set_from_router("r1");
  message.set_to_incarnation(77);
  message.mutable_ceiling_ack()->set_serial(serial);
  return message;
}

// Bytes that depend on their position, so that reordering is detected.
std::string Pattern(size_t size, char seed) {
  std::string text(size, seed);
  for (size_t i = 0; i < size; i += 7) {
    text[i] = static_cast<char>('a' + (i / 7 + static_cast<size_t>(seed)) % 26);
  }
  return text;
}

std::string HeaderOf(const ReplyHead& head, const std::string& name) {
  for (const auto& [field, value] : head.headers) {
    if (field == name) {
      return value;
    }
  }
  return {};
}

// Sends `body` in parts, each after the previous one was sent.
void StreamParts(const std::shared_ptr<ForwardReply>& reply,
                 const std::shared_ptr<std::string>& body,
                 size_t from) {
  constexpr size_t kPart = 50'000;
  if (from >= body->size()) {
    reply->End();
    return;
  }
  reply->Body(body->substr(from, kPart),
              [reply, body, from] { StreamParts(reply, body, from + kPart); });
}

}  // namespace

TEST_GROUP(PeerLink) {
  IoThreads m_threads;
  PeerServerCallbacks m_callbacks;
  PeerSettings m_settings;

  PeerServer MakeServer() {
    return PeerServer(m_threads.io(), kLocalhost, 0, kSecret, m_callbacks,
                      m_settings);
  }
  PeerClient MakeClient() {
    return PeerClient(m_threads.io(), kSecret, m_settings);
  }
  // A server that passes forwards to `answer`.
  PeerServer Answering(
      const std::function<void(std::shared_ptr<ForwardReply>)>& answer) {
    m_callbacks.on_forward = [answer](const ForwardHead&, const std::string&,
                                      std::shared_ptr<ForwardReply> reply) {
      answer(std::move(reply));
    };
    return MakeServer();
  }
};

TEST(PeerLink, a_message_arrives_as_it_was_sent) {
  Awaited<v1::PeerMessage> received;
  m_callbacks.on_message = [&](v1::PeerMessage message) {
    received.Set(std::move(message));
  };
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  std::atomic<int> failed{0};
  client.SendMessage(address, SomeMessage(5),
                     [&](const core::Error&) { ++failed; });
  CHECK_EQUAL(SomeMessage(5).SerializeAsString(),
              received.Get().SerializeAsString());
  Awaited<bool> closed;
  client.Close([&] { closed.Set(true); });
  closed.Get();
  CHECK_EQUAL(0, failed.load());
}

TEST(PeerLink, a_forward_and_its_answer_arrive_completely) {
  Awaited<ForwardHead> seen;
  Awaited<std::string> seen_body;
  m_callbacks.on_forward = [&](ForwardHead head, std::string body,
                               const std::shared_ptr<ForwardReply>& reply) {
    seen.Set(std::move(head));
    seen_body.Set(std::move(body));
    reply->Head(ReplyHead{429, {{"retry-after", "3"}, {"via", "x"}}});
    reply->Body("part one, ", {});
    reply->Body("part two", {});
    reply->End();
  };
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  client.StartForward(address, SomeHead("/v1/x?y=1"), "the body",
                      collector.Callbacks());
  const Answer answer = collector.Get();
  CHECK_TRUE(answer.outcome.complete);
  CHECK_TRUE(answer.outcome.sent);
  CHECK_EQUAL(429U, answer.head.status);
  CHECK_TRUE(answer.head.headers ==
             HeaderList({{"retry-after", "3"}, {"via", "x"}}));
  CHECK_EQUAL(std::string("part one, part two"), answer.body);
  const ForwardHead head = seen.Get();
  const ForwardHead expected = SomeHead("/v1/x?y=1");
  CHECK_TRUE(head.account == expected.account);
  CHECK_TRUE(head.to_incarnation == expected.to_incarnation);
  CHECK_EQUAL(expected.method, head.method);
  CHECK_EQUAL(expected.path, head.path);
  CHECK_EQUAL(expected.idempotency_key, head.idempotency_key);
  CHECK_TRUE(head.headers == expected.headers);
  CHECK_EQUAL(std::string("the body"), seen_body.Get());
}

TEST(PeerLink, an_empty_answer_is_complete) {
  PeerServer server = Answering([](const std::shared_ptr<ForwardReply>& reply) {
    reply->Head(ReplyHead{204, {}});
    reply->End();
  });
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), "", collector.Callbacks());
  const Answer answer = collector.Get();
  CHECK_TRUE(answer.outcome.complete);
  CHECK_EQUAL(204U, answer.head.status);
}

// The second router aborts when the caller of the first has part of the answer.
// The caller must see a truncated answer, not a short one that looks complete:
// the abort resets the stream, which is not a normal end.
TEST(PeerLink, an_answer_that_is_aborted_midway_is_incomplete) {
  Awaited<std::shared_ptr<ForwardReply>> running;
  PeerServer server = Answering([&](std::shared_ptr<ForwardReply> reply) {
    reply->Head(ReplyHead{});
    reply->Body("half an ans", {});
    running.Set(std::move(reply));
  });
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), "q", collector.Callbacks());
  collector.AwaitHead();
  running.Get()->Abort(
      core::Error{core::ErrorId::kUpstreamFailed, "engine-1", {}});
  const Answer answer = collector.Get();
  CHECK_FALSE(answer.outcome.complete);
  CHECK_TRUE(answer.outcome.sent);
  CHECK_TRUE(answer.outcome.error.id == core::ErrorId::kAnswerCut);
}

// A fault in the second router drops the reply object without ending it. The
// caller sees a truncated answer instead of one that hangs or looks complete.
TEST(PeerLink, an_answer_that_its_writer_drops_is_incomplete) {
  PeerServer server = Answering([](const std::shared_ptr<ForwardReply>& reply) {
    reply->Head(ReplyHead{});
    reply->Body("begun", {});
  });
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), "q", collector.Callbacks());
  CHECK_FALSE(collector.Get().outcome.complete);
}

// A process without the fleet's secret sends a message and a forward. Nothing
// reaches the router; the sender gets an error.
TEST(PeerLink, a_wrong_secret_delivers_nothing) {
  std::atomic<int> delivered{0};
  std::atomic<int> refused{0};
  m_callbacks.on_message = [&](const v1::PeerMessage&) { ++delivered; };
  m_callbacks.on_forward = [&](const ForwardHead&, const std::string&,
                               const std::shared_ptr<ForwardReply>&) {
    ++delivered;
  };
  m_callbacks.on_refused = [&](const core::Error&) { ++refused; };
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client(m_threads.io(), "another secret", m_settings);
  Awaited<core::Error> failed;
  client.SendMessage(address, SomeMessage(1),
                     [&](core::Error error) { failed.Set(std::move(error)); });
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), Pattern(kMebibyte, 'b'),
                      collector.Callbacks());
  CHECK_TRUE(failed.Get().id == core::ErrorId::kPeerProtocol);
  const Answer answer = collector.Get();
  CHECK_FALSE(answer.outcome.complete);
  CHECK_TRUE(answer.outcome.error.id == core::ErrorId::kPeerProtocol);
  CHECK_EQUAL(0, delivered.load());
  CHECK_EQUAL(2, refused.load());
}

TEST(PeerLink, many_concurrent_forwards_never_mix_their_bodies) {
  constexpr size_t kForwards = 300;
  m_callbacks.on_forward = [](const ForwardHead& head, std::string body,
                              const std::shared_ptr<ForwardReply>& reply) {
    reply->Head(ReplyHead{200, {{"x-path", head.path}}});
    StreamParts(reply, std::make_shared<std::string>(std::move(body)), 0);
  };
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  std::vector<AnswerCollector> collectors(kForwards);
  std::vector<std::string> bodies;
  for (size_t i = 0; i < kForwards; ++i) {
    bodies.push_back(Pattern(1 + i * 997, static_cast<char>('A' + i % 50)));
    client.StartForward(address, SomeHead("/" + std::to_string(i)), bodies[i],
                        collectors[i].Callbacks());
  }
  for (size_t i = 0; i < kForwards; ++i) {
    const Answer answer = collectors[i].Get();
    CHECK_TRUE(answer.outcome.complete);
    CHECK_TRUE(answer.body == bodies[i]);
    CHECK_TRUE(HeaderOf(answer.head, "x-path") == "/" + std::to_string(i));
  }
}

TEST(PeerLink, a_full_message_queue_fails_immediately) {
  m_settings.max_queued_messages = 2;
  // No server accepts on this address for a while, so the messages stay queued.
  boost::asio::ip::tcp::acceptor unresponsive(
      m_threads.io(), {boost::asio::ip::make_address(kLocalhost), 0});
  const std::string address = AddressOf(unresponsive.local_endpoint().port());
  m_settings.connect_timeout = kPatience;
  PeerClient client = MakeClient();
  std::vector<Awaited<core::Error>> failed(3);
  for (Awaited<core::Error>& one : failed) {
    client.SendMessage(
        address, SomeMessage(1),
        [one](core::Error error) mutable { one.Set(std::move(error)); });
  }
  CHECK_TRUE(failed[2].Get().id == core::ErrorId::kPeerUnreachable);
  CHECK_TRUE(failed[0].Pending());
  CHECK_TRUE(failed[1].Pending());
}

TEST(PeerLink, a_body_of_two_mebibytes_streams_both_ways) {
  m_callbacks.on_forward = [](const ForwardHead&, std::string body,
                              const std::shared_ptr<ForwardReply>& reply) {
    reply->Head(ReplyHead{});
    StreamParts(reply, std::make_shared<std::string>(std::move(body)), 0);
  };
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  const std::string body = Pattern(2 * kMebibyte, 'q');
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), body, collector.Callbacks());
  const Answer answer = collector.Get();
  CHECK_TRUE(answer.outcome.complete);
  CHECK_TRUE(answer.body == body);
}

// A caller reads slowly. Its router stops confirming bytes, the window fills
// and the writer at the other router pauses, while other forwards and messages
// on the same connection continue.
TEST(PeerLink, a_stalled_reader_blocks_only_its_own_writer) {
  std::atomic<size_t> written{0};
  m_callbacks.on_forward = [&](const ForwardHead& head, const std::string&,
                               const std::shared_ptr<ForwardReply>& reply) {
    if (head.path != "/slow") {
      SendCompleteReply(*reply, Pattern(kMebibyte, 'f'));
      return;
    }
    reply->Head(ReplyHead{});
    // Writes without end while more is requested.
    auto step = std::make_shared<std::function<void()>>();
    *step = [&written, reply, weak = std::weak_ptr(step)] {
      const auto again = weak.lock();
      if (again) {
        written += 1000;
        reply->Body(std::string(1000, 's'), [again] { (*again)(); });
      }
    };
    (*step)();
  };
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  Awaited<std::function<void()>> held;
  std::atomic<bool> first{true};
  Awaited<ForwardOutcome> end;
  ForwardCallbacks slow;
  slow.on_body = [&](const std::string&, std::function<void()> consumed) {
    if (first.exchange(false)) {
      held.Set(std::move(consumed));
    }
  };
  slow.on_end = [&](ForwardOutcome outcome) { end.Set(std::move(outcome)); };
  ForwardHandle handle =
      client.StartForward(address, SomeHead("/slow"), "", std::move(slow));
  held.Get();
  for (int i = 0; i < 20; ++i) {
    AnswerCollector collector;
    client.StartForward(address, SomeHead("/fast"), "", collector.Callbacks());
    CHECK_TRUE(collector.Get().body.size() == kMebibyte);
  }
  // One stream window and one reply buffer, far from the 20 MiB of the others.
  CHECK_TRUE(written.load() < kMebibyte);
  handle.Cancel();
  CHECK_FALSE(end.Get().complete);
}

// The caller disconnects. Its router cancels the forward, and the other router
// is notified, so that it can stop the work.
TEST(PeerLink, a_cancelled_forward_is_reported_at_both_ends) {
  Awaited<bool> cancelled;
  Awaited<std::shared_ptr<ForwardReply>> running;
  PeerServer server = Answering([&](std::shared_ptr<ForwardReply> reply) {
    reply->OnCancelled([&] { cancelled.Set(true); });
    reply->Head(ReplyHead{});
    running.Set(std::move(reply));
  });
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  ForwardHandle handle =
      client.StartForward(address, SomeHead(), "q", collector.Callbacks());
  collector.AwaitHead();
  handle.Cancel();
  handle.Cancel();
  const Answer answer = collector.Get();
  CHECK_FALSE(answer.outcome.complete);
  CHECK_TRUE(answer.outcome.sent);
  CHECK_TRUE(cancelled.Get());
}

TEST(PeerLink,
     invalid_fields_and_oversized_data_are_refused_before_they_are_sent) {
  PeerServer server = Answering([](const std::shared_ptr<ForwardReply>&) {});
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  const auto failure = [&](const ForwardHead& head, std::string body) {
    AnswerCollector collector;
    client.StartForward(address, head, std::move(body), collector.Callbacks());
    const ForwardOutcome outcome = collector.Get().outcome;
    CHECK_FALSE(outcome.sent);
    return outcome.error.id;
  };
  ForwardHead broken = SomeHead();
  broken.headers.emplace_back("x-note", "two\r\nlines");
  CHECK_TRUE(failure(broken, "") == core::ErrorId::kBadRequest);
  ForwardHead large = SomeHead();
  large.headers.emplace_back("x-note", std::string(40'000, 'n'));
  CHECK_TRUE(failure(large, "") == core::ErrorId::kHeaderTooLarge);
  CHECK_TRUE(failure(SomeHead(), std::string(17 * kMebibyte, 'x')) ==
             core::ErrorId::kBodyTooLarge);
}

TEST(PeerLink, a_message_of_more_than_a_mebibyte_is_refused) {
  PeerServer server = MakeServer();
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  v1::PeerMessage message = SomeMessage(1);
  message.set_from_router(std::string(kMebibyte, 'r'));
  Awaited<core::Error> failed;
  client.SendMessage(address, message,
                     [&](core::Error error) { failed.Set(std::move(error)); });
  CHECK_TRUE(failed.Get().id == core::ErrorId::kBodyTooLarge);
}

// A router starts to close while it answers a forward of a peer. The answer in
// progress reaches its caller completely; later forwards are refused as not
// sent.
TEST(PeerLink, a_server_that_closes_finishes_the_answers_in_progress) {
  Awaited<std::shared_ptr<ForwardReply>> running;
  PeerServer server = Answering([&](std::shared_ptr<ForwardReply> reply) {
    reply->Head(ReplyHead{});
    running.Set(std::move(reply));
  });
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), "q", collector.Callbacks());
  const std::shared_ptr<ForwardReply> reply = running.Get();
  Awaited<bool> closed;
  server.Close([&] { closed.Set(true); });
  collector.AwaitHead();
  CHECK_TRUE(closed.Pending());
  SendCompleteReply(*reply, Pattern(kMebibyte, 'z'));
  const Answer answer = collector.Get();
  CHECK_TRUE(answer.outcome.complete);
  CHECK_TRUE(answer.body == Pattern(kMebibyte, 'z'));
  CHECK_TRUE(closed.Get());
  AnswerCollector late;
  client.StartForward(address, SomeHead(), "q", late.Callbacks());
  const ForwardOutcome outcome = late.Get().outcome;
  CHECK_FALSE(outcome.sent);
  CHECK_TRUE(outcome.error.id == core::ErrorId::kPeerUnreachable);
}

TEST(PeerLink, a_client_that_closes_finishes_its_forwards) {
  Awaited<std::shared_ptr<ForwardReply>> running;
  PeerServer server = Answering([&](std::shared_ptr<ForwardReply> reply) {
    running.Set(std::move(reply));
  });
  const std::string address = Listen(server);
  PeerClient client = MakeClient();
  AnswerCollector collector;
  client.StartForward(address, SomeHead(), "q", collector.Callbacks());
  const std::shared_ptr<ForwardReply> reply = running.Get();
  Awaited<bool> closed;
  client.Close([&] { closed.Set(true); });
  AnswerCollector late;
  client.StartForward(address, SomeHead(), "q", late.Callbacks());
  CHECK_FALSE(late.Get().outcome.sent);
  SendCompleteReply(*reply, "done");
  CHECK_TRUE(collector.Get().outcome.complete);
  CHECK_TRUE(closed.Get());
}

TEST(PeerLink, an_address_without_a_listener_is_unreachable_and_not_sent) {
  PeerClient client = MakeClient();
  for (const std::string& address :
       std::vector<std::string>{"127.0.0.1:1", "nonsense", "[::1"}) {
    AnswerCollector collector;
    client.StartForward(address, SomeHead(), "q", collector.Callbacks());
    const ForwardOutcome outcome = collector.Get().outcome;
    CHECK_FALSE(outcome.sent);
    CHECK_TRUE(outcome.error.id == core::ErrorId::kPeerUnreachable);
  }
}
