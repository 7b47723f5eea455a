#include "coppervalve/net/answer_reader.h"

#include <utility>  // move

namespace coppervalve::net {

AnswerReader::AnswerReader(std::shared_ptr<Answer> own, Answer::Wake wake)
    : m_wake(std::move(wake)),
      m_own(std::move(own)),
      m_own_reader(m_own->Subscribe(m_wake)),
      m_source(m_own),
      m_source_reader(m_own_reader) {}

AnswerReader::~AnswerReader() {
  if (m_source != m_own && m_source_reader) {
    m_source->Unsubscribe(*m_source_reader);
  }
  if (m_own_reader) {
    m_own->Unsubscribe(*m_own_reader);
  }
}

Answer::Piece AnswerReader::Next(size_t max_bytes) {
  FollowRedirect();
  // A joined request can be refused on its own (e.g. at its deadline) while the
  // joined answer continues for other readers.
  if (m_source != m_own && m_own->state() == Answer::State::kFailed) {
    return Failed(*m_own->Read(*m_own_reader, 0).refusal);
  }
  if (!m_source_reader) {
    return Failed(
        RefusalOf({core::ErrorId::kAnswerExpired, "answer",
                   "the beginning of the answer is no longer stored"}));
  }
  Answer::Piece piece = m_source->Read(*m_source_reader, max_bytes);
  m_started = piece.started;
  m_stream = piece.stream;
  return piece;
}

void AnswerReader::FollowRedirect() {
  while (std::shared_ptr<Answer> next = m_source->Redirect()) {
    if (m_source != m_own && m_source_reader) {
      m_source->Unsubscribe(*m_source_reader);
    }
    m_source = std::move(next);
    m_source_reader = m_source->Subscribe(m_wake);
  }
}

Answer::Piece AnswerReader::Failed(Refusal refusal) const {
  Answer::Piece piece;
  piece.started = m_started;
  piece.stream = m_stream;
  piece.state = Answer::State::kFailed;
  piece.refusal = std::move(refusal);
  return piece;
}

}  // namespace coppervalve::net
