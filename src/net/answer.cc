#include "coppervalve/net/answer.h"

#include <algorithm>  // max, min
#include <utility>    // move
#include <vector>     // vector

namespace coppervalve::net {

namespace {

// Erasing the front of a string copies the rest, so it is done in larger steps.
constexpr size_t kTrimStep = size_t{64} * 1024;

}  // namespace

void Answer::Start(HttpHead head, bool stream) {
  std::unique_lock lock(m_mutex);
  if (m_started || m_state != State::kOpen) {
    return;
  }
  m_started = true;
  m_stream = stream;
  m_head = std::move(head);
  WakeReaders(std::move(lock));
}

void Answer::Append(std::string_view bytes) {
  std::unique_lock lock(m_mutex);
  if (m_state != State::kOpen) {
    return;
  }
  m_bytes.append(bytes);
  Trim();
  WakeReaders(std::move(lock));
}

void Answer::Finish() {
  std::unique_lock lock(m_mutex);
  if (m_state != State::kOpen) {
    return;
  }
  m_state = State::kComplete;
  WakeReaders(std::move(lock));
}

void Answer::Fail(Refusal refusal) {
  std::unique_lock lock(m_mutex);
  if (m_state != State::kOpen) {
    return;
  }
  m_state = State::kFailed;
  m_refusal = std::move(refusal);
  WakeReaders(std::move(lock));
}

void Answer::RedirectTo(std::shared_ptr<Answer> leader) {
  std::unique_lock lock(m_mutex);
  m_redirect = std::move(leader);
  WakeReaders(std::move(lock));
}

std::shared_ptr<Answer> Answer::Redirect() const {
  const std::scoped_lock lock(m_mutex);
  return m_redirect;
}

std::optional<Answer::ReaderId> Answer::Subscribe(Wake wake) {
  const std::scoped_lock lock(m_mutex);
  if (m_base > 0) {
    return std::nullopt;
  }
  const ReaderId id = m_next_reader++;
  m_readers[id].wake = std::move(wake);
  return id;
}

void Answer::Unsubscribe(ReaderId reader) {
  std::unique_lock lock(m_mutex);
  m_readers.erase(reader);
  Trim();
  const Wake on_read = m_on_read;
  lock.unlock();
  if (on_read) {
    on_read();
  }
}

Answer::Piece Answer::Read(ReaderId reader, size_t max_bytes) {
  std::unique_lock lock(m_mutex);
  Piece piece;
  const auto found = m_readers.find(reader);
  if (found == m_readers.end()) {
    return piece;
  }
  Reader& self = found->second;
  piece.started = m_started;
  piece.stream = m_stream;
  if (m_started && !self.has_head) {
    piece.head = m_head;
    self.has_head = true;
  }
  const size_t available = End() - self.position;
  const size_t size = std::min(available, max_bytes);
  piece.bytes = m_bytes.substr(self.position - m_base, size);
  self.position += size;
  const bool at_end = self.position == End();
  piece.state = at_end ? m_state : State::kOpen;
  if (at_end) {
    piece.refusal = m_refusal;
  }
  Trim();
  const Wake on_read = size > 0 ? m_on_read : Wake();
  lock.unlock();
  if (on_read) {
    on_read();
  }
  return piece;
}

bool Answer::started() const {
  const std::scoped_lock lock(m_mutex);
  return m_started;
}

Answer::State Answer::state() const {
  const std::scoped_lock lock(m_mutex);
  return m_state;
}

size_t Answer::UnreadBytes() const {
  const std::scoped_lock lock(m_mutex);
  size_t lag = 0;
  for (const auto& [id, reader] : m_readers) {
    lag = std::max(lag, End() - reader.position);
  }
  return lag;
}

size_t Answer::BufferedBytes() const {
  const std::scoped_lock lock(m_mutex);
  return m_bytes.size();
}

void Answer::SetReadCallback(Wake wake) {
  const std::scoped_lock lock(m_mutex);
  m_on_read = std::move(wake);
}

void Answer::WakeReaders(std::unique_lock<std::mutex> lock) {
  std::vector<Wake> wakes;
  wakes.reserve(m_readers.size());
  for (const auto& [id, reader] : m_readers) {
    wakes.push_back(reader.wake);
  }
  lock.unlock();
  // Called without the lock, because a reader may call back immediately.
  for (const Wake& wake : wakes) {
    wake();
  }
}

void Answer::Trim() {
  // An answer within the limit is kept from its first byte, so that a repeated
  // request gets the complete answer. A larger one is relayed but can no longer
  // be joined, because a part of it could be taken for the complete answer.
  // Nothing is dropped before the first reader has subscribed.
  const bool has_had_readers = m_next_reader > 1;
  if (End() <= m_keep_limit || !has_had_readers) {
    return;
  }
  size_t lowest = End();
  for (const auto& [id, reader] : m_readers) {
    lowest = std::min(lowest, reader.position);
  }
  const size_t unneeded = lowest - m_base;
  if (unneeded < kTrimStep && lowest != End()) {
    return;
  }
  m_bytes.erase(0, unneeded);
  m_base = lowest;
}

}  // namespace coppervalve::net
