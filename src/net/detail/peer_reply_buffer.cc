#include "peer_reply_buffer.h"

#include <algorithm>  // copy_n, min
#include <utility>    // exchange, move

namespace coppervalve::net::detail {

void PeerReplyBuffer::Push(std::string bytes,
                           std::function<void()> on_writable) {
  if (!bytes.empty()) {
    m_size += bytes.size();
    m_chunks.push_back(std::move(bytes));
  }
  if (on_writable) {
    m_writers.push_back(std::move(on_writable));
  }
  WakeWriters();
}

BodyPart PeerReplyBuffer::Take(std::span<char> frame) {
  size_t filled = 0;
  while (filled < frame.size() && !m_chunks.empty()) {
    const std::string& chunk = m_chunks.front();
    const size_t part =
        std::min(frame.size() - filled, chunk.size() - m_first_chunk_read);
    std::copy_n(chunk.data() + m_first_chunk_read, part, frame.data() + filled);
    filled += part;
    m_first_chunk_read += part;
    if (m_first_chunk_read == chunk.size()) {
      m_chunks.pop_front();
      m_first_chunk_read = 0;
    }
  }
  m_size -= filled;
  WakeWriters();
  if (m_ended && m_size == 0) {
    return {filled, BodyPart::State::kEnd};
  }
  if (filled == 0) {
    return {0, BodyPart::State::kWait};
  }
  return {filled, BodyPart::State::kMore};
}

void PeerReplyBuffer::WakeWriters() {
  if (m_size > kLowWater) {
    return;
  }
  const auto writers = std::exchange(m_writers, {});
  for (const auto& writer : writers) {
    writer();
  }
}

}  // namespace coppervalve::net::detail
