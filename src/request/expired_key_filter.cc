#include "coppervalve/request/expired_key_filter.h"

#include <algorithm>  // max
#include <array>      // array
#include <utility>    // exchange

namespace coppervalve::request {

namespace {

constexpr size_t kBitsPerKey = 16;
constexpr size_t kWordBits = 64;
constexpr unsigned kHalfBits = 32;
constexpr size_t kProbes = 4;

/// The key is already a hash, so its four 32-bit parts are the probes.
std::array<size_t, kProbes> Probes(const core::Hash128& key, size_t bits) {
  constexpr uint64_t kLowHalf = 0xFFFFFFFF;
  return {static_cast<size_t>(key.high >> kHalfBits) % bits,
          static_cast<size_t>(key.high & kLowHalf) % bits,
          static_cast<size_t>(key.low >> kHalfBits) % bits,
          static_cast<size_t>(key.low & kLowHalf) % bits};
}

}  // namespace

ExpiredKeyFilter::ExpiredKeyFilter(size_t per_generation)
    : m_per_generation(std::max(per_generation, kWordBits)) {}

void ExpiredKeyFilter::Add(const core::Hash128& key) {
  if (m_added == m_per_generation) {
    m_previous = std::exchange(m_current, {});
    m_added = 0;
  }
  // Allocated on first use: most routers of a large fleet never add a key.
  if (m_current.empty()) {
    m_current.resize(m_per_generation * kBitsPerKey / kWordBits);
  }
  for (const size_t bit : Probes(key, m_current.size() * kWordBits)) {
    m_current[bit / kWordBits] |= uint64_t{1} << (bit % kWordBits);
  }
  ++m_added;
}

bool ExpiredKeyFilter::MayContain(const core::Hash128& key) const {
  return Contains(m_current, key) || Contains(m_previous, key);
}

bool ExpiredKeyFilter::Contains(const Bits& bits, const core::Hash128& key) {
  if (bits.empty()) {
    return false;
  }
  for (const size_t bit : Probes(key, bits.size() * kWordBits)) {
    if ((bits[bit / kWordBits] >> (bit % kWordBits) & 1U) == 0) {
      return false;
    }
  }
  return true;
}

}  // namespace coppervalve::request
