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

/// @brief The answer of one request while it is written and read. One writer
/// and any number of readers, each on its own thread.
class Answer {
 public:
  enum class State { kOpen, kWhole, kFailed };
  using Wake = std::function<void()>;
  using ReaderId = size_t;

  /// @brief What a reader gets next.
  struct Piece {
    bool started = false;
    bool stream = false;
    State state = State::kOpen;    ///< as of after `bytes`
    std::optional<HttpHead> head;  ///< once, with a reader's first piece
    std::string bytes;
    std::optional<Refusal> refusal;
  };

  /// @param keep_limit bytes kept for later readers; 0 keeps nothing that all
  /// readers have read
  explicit Answer(size_t keep_limit) : m_keep_limit(keep_limit) {}

  /// @brief Begins the answer. @param stream readers may relay it piecewise
  void Start(HttpHead head, bool stream);
  void Append(std::string_view bytes);
  /// @brief The answer came to its proper end.
  void Finish();
  /// @brief Ends an answer that cannot be completed; no effect once ended.
  void Fail(Refusal refusal);
  /// @brief Sends all readers to another answer.
  void RedirectTo(std::shared_ptr<Answer> leader);

  /// @return the answer that readers shall read instead, if any
  std::shared_ptr<Answer> Redirect() const;
  /// @return no reader, when the beginning is no longer kept
  /// @param wake called from any thread whenever there may be something to read
  std::optional<ReaderId> Subscribe(Wake wake);
  void Unsubscribe(ReaderId reader);
  Piece Read(ReaderId reader, size_t max_bytes);

  bool started() const;
  State state() const;
  /// @return bytes that the reader furthest behind has still to read; 0 without
  /// readers
  size_t Lag() const;
  /// @return bytes held in memory
  size_t HeldBytes() const;
  /// @param wake called from any thread after a reader took bytes
  void OnTaken(Wake wake);

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
  Wake m_taken;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_ANSWER_H_
