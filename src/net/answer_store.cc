#include "coppervalve/net/answer_store.h"

namespace coppervalve::net {

AnswerStore::AnswerStore(size_t answer_limit, size_t total_limit)
    : m_answer_limit(answer_limit), m_total_limit(total_limit) {}

std::shared_ptr<Answer> AnswerStore::Create(core::RequestId request,
                                            bool keyed) {
  if (!keyed) {
    return std::make_shared<Answer>(0);
  }
  const std::scoped_lock lock(m_mutex);
  const bool room = BufferedBytesLocked() < m_total_limit;
  auto answer = std::make_shared<Answer>(room ? m_answer_limit : 0);
  m_answers[request] = answer;
  return answer;
}

std::shared_ptr<Answer> AnswerStore::Find(core::RequestId request) const {
  const std::scoped_lock lock(m_mutex);
  const auto found = m_answers.find(request);
  return found == m_answers.end() ? nullptr : found->second;
}

void AnswerStore::Remove(core::RequestId request) {
  const std::scoped_lock lock(m_mutex);
  m_answers.erase(request);
}

size_t AnswerStore::BufferedBytes() const {
  const std::scoped_lock lock(m_mutex);
  return BufferedBytesLocked();
}

size_t AnswerStore::BufferedBytesLocked() const {
  size_t sum = 0;
  for (const auto& [request, answer] : m_answers) {
    sum += answer->BufferedBytes();
  }
  return sum;
}

}  // namespace coppervalve::net
