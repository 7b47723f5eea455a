#ifndef COPPERVALVE_NET_ANSWER_STORE_H_
#define COPPERVALVE_NET_ANSWER_STORE_H_

#include <cstddef>        // size_t
#include <memory>         // shared_ptr
#include <mutex>          // mutex
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/net/answer.h"

namespace coppervalve::net {

/// @brief Stores the answers of requests with an idempotency key, so that later
/// callers with the same key can read them.
/// Thread-safe.
class AnswerStore {
 public:
  /// @param answer_limit most bytes kept of one answer
  /// @param total_limit most bytes kept in total; beyond it new answers are
  /// relayed without being stored
  AnswerStore(size_t answer_limit, size_t total_limit);

  /// @brief Creates the answer of a request.
  /// @param keyed the request has an idempotency key; its answer is kept
  std::shared_ptr<Answer> Create(core::RequestId request, bool keyed);
  /// @return the stored answer; null when there is none
  std::shared_ptr<Answer> Find(core::RequestId request) const;
  void Remove(core::RequestId request);
  /// @complexity linear in the number of answers kept
  size_t BufferedBytes() const;

 private:
  size_t BufferedBytesLocked() const;

  const size_t m_answer_limit;
  const size_t m_total_limit;
  mutable std::mutex m_mutex;
  std::unordered_map<core::RequestId, std::shared_ptr<Answer>> m_answers;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_ANSWER_STORE_H_
