#include "forward_writer.h"

#include <boost/asio/post.hpp>
#include <utility>  // exchange, move

#include "coppervalve/net/answer_reader.h"

namespace coppervalve::net {

namespace {

constexpr size_t kPieceBytes = size_t{64} * 1024;

class Writer : public std::enable_shared_from_this<Writer> {
 public:
  Writer(boost::asio::io_context& context,
         std::shared_ptr<ForwardReply> reply,
         std::function<void(bool)> on_ended)
      : m_context(context),
        m_reply(std::move(reply)),
        m_on_ended(std::move(on_ended)) {}

  void Start(std::shared_ptr<Answer> answer) {
    m_answer = std::make_unique<AnswerReader>(
        std::move(answer),
        [weak = weak_from_this(), &io = m_context] { Post(io, weak); });
    // The reply keeps this writer alive until either side has ended.
    m_reply->OnCancelled([self = shared_from_this()] {
      boost::asio::post(self->m_context, [self] { self->End(true); });
    });
    SendAvailable();
  }

 private:
  static void Post(boost::asio::io_context& io, std::weak_ptr<Writer> weak) {
    boost::asio::post(io, [weak = std::move(weak)] {
      if (const auto self = weak.lock()) {
        self->SendAvailable();
      }
    });
  }

  void SendAvailable() {
    while (m_answer && !m_waiting) {
      const Answer::Piece piece = m_answer->Next(kPieceBytes);
      if (piece.head) {
        m_head = *piece.head;
      }
      if (piece.state == Answer::State::kFailed) {
        Fail(*piece.refusal);
        return;
      }
      if (!piece.started) {
        return;
      }
      Relay(piece);
      if (piece.state == Answer::State::kComplete) {
        m_reply->End();
        End(false);
        return;
      }
      if (piece.bytes.empty()) {
        return;
      }
    }
  }

  void Relay(const Answer::Piece& piece) {
    if (!std::exchange(m_head_sent, true)) {
      m_reply->Head({m_head.status, m_head.headers});
    }
    if (piece.bytes.empty()) {
      return;
    }
    if (piece.state == Answer::State::kComplete) {
      m_reply->Body(piece.bytes, nullptr);
      return;
    }
    m_waiting = true;
    m_reply->Body(piece.bytes, [weak = weak_from_this(), &io = m_context] {
      boost::asio::post(io, [weak] {
        if (const auto self = weak.lock()) {
          self->m_waiting = false;
          self->SendAvailable();
        }
      });
    });
  }

  void Fail(const Refusal& refusal) {
    if (m_head_sent) {
      // The other router reports the failure to the caller.
      m_reply->Abort(refusal.error);
    } else {
      const HttpHead head = RefusalHead(refusal);
      m_reply->Head({head.status, head.headers});
      m_reply->Body(RefusalJson(refusal), nullptr);
      m_reply->End();
    }
    End(false);
  }

  void End(bool cancelled) {
    m_answer = nullptr;
    if (const auto ended = std::exchange(m_on_ended, nullptr)) {
      ended(cancelled);
    }
  }

  boost::asio::io_context& m_context;
  const std::shared_ptr<ForwardReply> m_reply;
  std::function<void(bool)> m_on_ended;
  std::unique_ptr<AnswerReader> m_answer;
  HttpHead m_head;
  bool m_head_sent = false;
  bool m_waiting = false;
};

}  // namespace

void WriteForwardReply(boost::asio::io_context& context,
                       std::shared_ptr<Answer> answer,
                       std::shared_ptr<ForwardReply> reply,
                       std::function<void(bool cancelled)> on_ended) {
  std::make_shared<Writer>(context, std::move(reply), std::move(on_ended))
      ->Start(std::move(answer));
}

}  // namespace coppervalve::net
