#ifndef COPPERVALVE_CORE_HASH_H_
#define COPPERVALVE_CORE_HASH_H_

#include <array>        // array
#include <compare>      // operator<=>
#include <cstdint>      // uint64_t
#include <functional>   // hash
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::core {

/// @brief 64-bit non-cryptographic hash (XXH3).
/// @complexity linear in the size of the text
uint64_t Hash64(std::string_view text, uint64_t seed = 0);

/// @brief 128-bit content hash of request keys and bodies.
struct Hash128 {
  uint64_t high = 0;
  uint64_t low = 0;

  friend auto operator<=>(const Hash128&, const Hash128&) = default;
  /// @return 16 bytes, big endian, as stored in log records
  std::string ToBytes() const;
  /// @return the hash stored in 16 bytes; all zero for any other size
  static Hash128 FromBytes(std::string_view bytes);
};

/// @brief 128-bit non-cryptographic hash (XXH3).
Hash128 HashOf(std::string_view text);

/// @return lower-case hex of bytes
std::string HexOf(std::string_view bytes);

/// @return the 32 bytes of SHA-256
std::string Sha256(std::string_view text);

/// @brief Lower-case hex SHA-256, used for API keys and operator tokens.
std::string Sha256Hex(std::string_view text);

/// @brief Compares secrets in constant time, so that timing does not reveal the
/// position of the first difference.
bool EqualSecrets(std::string_view a, std::string_view b);

/// @brief Rank of `candidate` for `key` in rendezvous hashing: the candidate
/// with the highest rank owns the key.
uint64_t RendezvousRank(std::string_view key, std::string_view candidate);
/// @brief Overload that avoids rehashing one key for many candidates.
/// @param key_hash Hash64() of the key
uint64_t RendezvousRank(uint64_t key_hash, std::string_view candidate);

}  // namespace coppervalve::core

template <>
struct std::hash<coppervalve::core::Hash128> {
  size_t operator()(const coppervalve::core::Hash128& h) const noexcept {
    return static_cast<size_t>(h.low);
  }
};

#endif  // COPPERVALVE_CORE_HASH_H_
