#ifndef COPPERVALVE_NET_ANSWER_H_
#define COPPERVALVE_NET_ANSWER_H_

#include <cstddef>     // size_t
#include <functional>  // function
#include <map>         // map
#include <memory>      // shared_ptr
#include <mutex>       // mutex
#include <optional>    // optional
#include <string>      // string

#include "coppervalve/net/http_types.h"
#include "coppervalve/net/refusal.h"

namespace coppervalve::net {

/// @brief Buffers the answer of one request between one writer and any number
/// of readers, each on its own thread.
class Answer {
 public:
  enum class State { kOpen, kComplete, kFailed };
  using Wake = std::function<void()>;
  using ReaderId = size_t;

  /// @brief The next part of the answer for a reader.
  struct Piece {
    bool started = false;
    bool stream = false;
    State state = State::kOpen;    ///< state after `bytes`
    std::optional<HttpHead> head;  ///< only in a reader's first piece
    std::string bytes;
    std::optional<Refusal> refusal;
  };

  /// @param keep_limit bytes kept for later readers; with 0, bytes that all
  /// readers have read are dropped
  explicit Answer(size_t keep_limit) : m_keep_limit(keep_limit) {}

  /// @brief Begins the answer.
  /// @param stream readers may relay it before it is complete
  void Start(HttpHead head, bool stream);
  void Append(std::string_view bytes);
  /// @brief Marks the answer as complete.
  void Finish();
  /// @brief Ends an answer that cannot be completed; no effect once it has
  /// ended.
  void Fail(Refusal refusal);
  /// @brief Makes all readers read another answer instead.
  void RedirectTo(std::shared_ptr<Answer> leader);

  /// @return the answer that readers shall read instead, if any
  std::shared_ptr<Answer> Redirect() const;
  /// @param wake called from any thread whenever there may be something to read
  /// @return empty when the beginning of the answer is no longer kept
  std::optional<ReaderId> Subscribe(Wake wake);
  void Unsubscribe(ReaderId reader);
  Piece Read(ReaderId reader, size_t max_bytes);

  bool started() const;
  State state() const;
  /// @return unread bytes of the slowest reader; 0 without readers
  size_t UnreadBytes() const;
  /// @return bytes held in memory
  size_t BufferedBytes() const;
  /// @param wake called from any thread after a reader has read bytes
  void SetReadCallback(Wake wake);

 private:
  struct Reader {
    Wake wake;
    size_t position = 0;
    bool has_head = false;
  };

  void WakeReaders(std::unique_lock<std::mutex> lock);
  void Trim();
  size_t End() const { return m_base + m_bytes.size(); }

  mutable std::mutex m_mutex;
  const size_t m_keep_limit;
  State m_state = State::kOpen;
  bool m_started = false;
  bool m_stream = false;
  HttpHead m_head;
  size_t m_base = 0;  // position of the first byte still held
  std::string m_bytes;
  std::optional<Refusal> m_refusal;
  std::shared_ptr<Answer> m_redirect;
  std::map<ReaderId, Reader> m_readers;
  ReaderId m_next_reader = 1;
  Wake m_on_read;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_ANSWER_H_
