#ifndef COPPERVALVE_NET_ANSWER_READER_H_
#define COPPERVALVE_NET_ANSWER_READER_H_

#include <memory>    // shared_ptr
#include <optional>  // optional

#include "coppervalve/net/answer.h"

namespace coppervalve::net {

/// @brief Reads the answer for one caller and follows its redirect to the
/// answer of another request. Not thread-safe.
class AnswerReader {
 public:
  /// @param wake called from any thread whenever Next() may return new data
  AnswerReader(std::shared_ptr<Answer> own, Answer::Wake wake);
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;
  ~AnswerReader();

  Answer::Piece Next(size_t max_bytes);

 private:
  void FollowRedirect();
  Answer::Piece Failed(Refusal refusal) const;

  Answer::Wake m_wake;
  std::shared_ptr<Answer> m_own;
  std::optional<Answer::ReaderId> m_own_reader;
  std::shared_ptr<Answer> m_source;
  std::optional<Answer::ReaderId> m_source_reader;
  bool m_started = false;
  bool m_stream = false;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_ANSWER_READER_H_
