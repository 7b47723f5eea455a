#ifndef COPPERVALVE_REQUEST_EXPIRED_KEY_FILTER_H_
#define COPPERVALVE_REQUEST_EXPIRED_KEY_FILTER_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <vector>   // vector

#include "coppervalve/core/hash.h"

namespace coppervalve::request {

/// @brief Remembers the keys of dropped records of requests that ran, in a
/// Bloom filter of two generations.
///
/// The last `per_generation` keys are always found. With 16 bits and four
/// probes per key, fewer than 0.5 % of new keys are reported as known.
class ExpiredKeyFilter {
 public:
  explicit ExpiredKeyFilter(size_t per_generation);

  /// @complexity constant, except that one call in `per_generation` clears a
  /// generation
  void Add(const core::Hash128& key);
  bool MayContain(const core::Hash128& key) const;

 private:
  using Bits = std::vector<uint64_t>;
  static bool Contains(const Bits& bits, const core::Hash128& key);

  size_t m_per_generation;
  size_t m_added = 0;  // to the current generation
  Bits m_current;
  Bits m_previous;
};

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_EXPIRED_KEY_FILTER_H_
