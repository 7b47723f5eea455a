#ifndef COPPERVALVE_TESTS_NET_UNIT_PEER_SUPPORT_H_
#define COPPERVALVE_TESTS_NET_UNIT_PEER_SUPPORT_H_

#include <CppUTest/TestHarness.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>   // seconds
#include <future>   // future, promise
#include <memory>   // shared_ptr
#include <mutex>    // mutex
#include <string>   // string
#include <thread>   // thread
#include <utility>  // move
#include <vector>   // vector

#include "coppervalve/net/peer_link.h"

/// Helpers shared by the tests of the peer links.
namespace coppervalve::net::testing {

constexpr std::chrono::seconds kPatience{30};
inline const std::string kLocalhost = "127.0.0.1";
inline const std::string kSecret = "a secret of the fleet";

/// @brief An io_context with its own threads.
class IoThreads {
 public:
  IoThreads() : m_work(m_io.get_executor()) {
    for (int i = 0; i < kThreads; ++i) {
      m_threads.emplace_back([this] { m_io.run(); });
    }
  }
  ~IoThreads() {
    m_work.reset();
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& io() { return m_io; }

 private:
  static constexpr int kThreads = 3;

  boost::asio::io_context m_io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work;
  std::vector<std::thread> m_threads;
};

/// @brief A value that another thread delivers, at most once.
template <typename T>
class Awaited {
 public:
  void Set(T value) { m_promise->set_value(std::move(value)); }

  /// Fails the test when no value is delivered.
  T Get() {
    CHECK_TRUE(m_future.wait_for(kPatience) == std::future_status::ready);
    return m_future.get();
  }
  bool Pending() const {
    return m_future.wait_for(std::chrono::seconds(0)) !=
           std::future_status::ready;
  }

 private:
  std::shared_ptr<std::promise<T>> m_promise =
      std::make_shared<std::promise<T>>();
  std::shared_future<T> m_future = m_promise->get_future().share();
};

/// @brief Everything received for one forward.
struct Answer {
  ReplyHead head;
  std::string body;
  ForwardOutcome outcome;
};

/// @brief Collects the answer to one forward.
class AnswerCollector {
 public:
  ForwardCallbacks Callbacks() {
    ForwardCallbacks callbacks;
    callbacks.on_head = [state = m_state](ReplyHead head) {
      state->answer.head = std::move(head);
      state->head.Set(true);
    };
    callbacks.on_body = [state = m_state](
                            const std::string& bytes,
                            const std::function<void()>& consumed) {
      state->answer.body += bytes;
      consumed();
    };
    callbacks.on_end = [state = m_state](ForwardOutcome outcome) {
      state->answer.outcome = std::move(outcome);
      state->end.Set(state->answer);
    };
    return callbacks;
  }

  void AwaitHead() { m_state->head.Get(); }
  Answer Get() { return m_state->end.Get(); }

 private:
  struct State {
    Answer answer;
    Awaited<bool> head;
    Awaited<Answer> end;
  };
  std::shared_ptr<State> m_state = std::make_shared<State>();
};

inline ForwardHead SomeHead(std::string path = "/v1/chat/completions") {
  ForwardHead head;
  head.account = core::AccountId("gate");
  head.to_incarnation = core::Incarnation(77);
  head.method = "POST";
  head.path = std::move(path);
  head.idempotency_key = "cv1.r1.4d.key-1";
  head.headers = {{"content-type", "application/json"},
                  {"connection", "keep-alive"},
                  {"x-empty", ""}};
  return head;
}

/// @brief Answers a forward immediately and completely.
inline void SendCompleteReply(ForwardReply& reply, std::string body) {
  reply.Head(ReplyHead{200, {{"content-type", "text/plain"}}});
  reply.Body(std::move(body), {});
  reply.End();
}

inline std::string AddressOf(uint16_t port) {
  return kLocalhost + ":" + std::to_string(port);
}

/// @brief Starts to listen on a free port. @return the address
inline std::string Listen(PeerServer& server) {
  CHECK_TRUE(core::IsOk(server.Listen()));
  return AddressOf(server.port());
}

}  // namespace coppervalve::net::testing

#endif  // COPPERVALVE_TESTS_NET_UNIT_PEER_SUPPORT_H_
