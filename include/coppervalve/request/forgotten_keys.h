#ifndef COPPERVALVE_REQUEST_FORGOTTEN_KEYS_H_
#define COPPERVALVE_REQUEST_FORGOTTEN_KEYS_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <vector>   // vector

#include "coppervalve/core/hash.h"

namespace coppervalve::request {

/// @brief Two generations of a Bloom filter over keys that ran and whose
/// records were dropped. It never misses a key of the last
/// `per_generation` ones; it may take a new key for an old one, with a
/// probability that the bits per key (16, four probes) keep below 0.5 %.
class ForgottenKeys {
 public:
  explicit ForgottenKeys(size_t per_generation);

  /// @complexity constant, but for clearing a generation once in
  /// `per_generation` calls
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

#endif  // COPPERVALVE_REQUEST_FORGOTTEN_KEYS_H_
