#ifndef COPPERVALVE_NET_DETAIL_PEER_REPLY_BUFFER_H_
#define COPPERVALVE_NET_DETAIL_PEER_REPLY_BUFFER_H_

#include <cstddef>     // size_t
#include <deque>       // deque
#include <functional>  // function
#include <span>        // span
#include <string>      // string
#include <vector>      // vector

#include "peer_session.h"

namespace coppervalve::net::detail {

/// @brief Buffers an answer until the stream's window allows sending it.
class PeerReplyBuffer {
 public:
  /// Buffered bytes below which waiting writers are notified.
  static constexpr size_t kLowWater = 64U << 10U;

  /// @param on_writable called once, now or when the buffer has drained
  void Push(std::string bytes, std::function<void()> on_writable);
  void End() { m_ended = true; }

  /// @brief Moves bytes into a frame and notifies waiting writers.
  BodyPart Take(std::span<char> frame);

  size_t size() const { return m_size; }
  bool ended() const { return m_ended; }

 private:
  void WakeWriters();

  std::deque<std::string> m_chunks;
  size_t m_first_chunk_read = 0;  ///< bytes already read from the first chunk
  size_t m_size = 0;
  bool m_ended = false;
  std::vector<std::function<void()>> m_writers;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_REPLY_BUFFER_H_
