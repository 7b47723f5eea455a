#include "forward_relay.h"

#include <mutex>    // mutex
#include <utility>  // exchange, move
#include <vector>   // vector

namespace coppervalve::net {

namespace {

using Consumed = std::function<void()>;

// Bytes unread by the caller at which the relay stops requesting more from the
// peer.
constexpr size_t kHighWater = size_t{256} * 1024;

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(std::shared_ptr<Answer> answer,
        size_t max_answer_bytes,
        std::function<void(ForwardOutcome)> on_end)
      : m_answer(std::move(answer)),
        m_max_answer_bytes(max_answer_bytes),
        m_on_end(std::move(on_end)) {}

  void OnHead(ReplyHead head) {
    m_head.status = head.status;
    m_head.headers = std::move(head.headers);
    m_stream = HeaderValue(m_head.headers, "content-type")
                   .starts_with("text/event-stream");
    if (m_stream) {
      m_answer->SetReadCallback([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->ReleaseConsumed();
        }
      });
    }
  }

  void OnBody(const std::string& bytes, Consumed consumed) {
    if (!m_stream) {
      m_too_large =
          m_too_large || m_body.size() + bytes.size() > m_max_answer_bytes;
      if (!m_too_large) {
        m_body += bytes;
      }
      consumed();
      return;
    }
    m_answer->Start(m_head, true);
    m_answer->Append(bytes);
    {
      const std::scoped_lock lock(m_mutex);
      m_waiting.push_back(std::move(consumed));
    }
    ReleaseConsumed();
  }

  void OnEnd(ForwardOutcome outcome) {
    m_answer->SetReadCallback(nullptr);
    if (outcome.complete && m_too_large) {
      outcome.complete = false;
      outcome.error = {core::ErrorId::kPeerProtocol, "forward",
                       "the answer exceeds the size limit"};
    }
    if (outcome.complete) {
      m_answer->Start(m_head, m_stream);
      m_answer->Append(m_body);
      m_answer->Finish();
    }
    m_on_end(std::move(outcome));
  }

 private:
  void ReleaseConsumed() {
    if (m_answer->UnreadBytes() > kHighWater) {
      return;
    }
    std::vector<Consumed> ready;
    {
      const std::scoped_lock lock(m_mutex);
      ready = std::exchange(m_waiting, {});
    }
    for (const Consumed& consumed : ready) {
      consumed();
    }
  }

  const std::shared_ptr<Answer> m_answer;
  const size_t m_max_answer_bytes;
  const std::function<void(ForwardOutcome)> m_on_end;
  HttpHead m_head;
  bool m_stream = false;
  bool m_too_large = false;
  std::string m_body;
  std::mutex
      m_mutex;  // the peer's thread adds callbacks, the caller's removes them
  std::vector<Consumed> m_waiting;
};

}  // namespace

ForwardCallbacks RelayForward(std::shared_ptr<Answer> answer,
                              size_t max_answer_bytes,
                              std::function<void(ForwardOutcome)> on_end) {
  auto relay = std::make_shared<Relay>(std::move(answer), max_answer_bytes,
                                       std::move(on_end));
  ForwardCallbacks callbacks;
  callbacks.on_head = [relay](ReplyHead head) {
    relay->OnHead(std::move(head));
  };
  callbacks.on_body = [relay](const std::string& bytes, Consumed consumed) {
    relay->OnBody(bytes, std::move(consumed));
  };
  callbacks.on_end = [relay](ForwardOutcome outcome) {
    relay->OnEnd(std::move(outcome));
  };
  return callbacks;
}

}  // namespace coppervalve::net
