#include "coppervalve/core/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>  // copy_n
#include <cstring>    // memcpy

namespace coppervalve::core {

namespace {

constexpr size_t kHash128Size = 16;

}  // namespace

uint64_t Hash64(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string Hash128::ToBytes() const {
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, XXH128_hash_t{low, high});
  return std::string(reinterpret_cast<const char*>(canonical.digest),
                     kHash128Size);
}

Hash128 Hash128::FromBytes(std::string_view bytes) {
  if (bytes.size() != kHash128Size) {
    return {};
  }
  XXH128_canonical_t canonical;
  std::memcpy(canonical.digest, bytes.data(), kHash128Size);
  const XXH128_hash_t hash = XXH128_hashFromCanonical(&canonical);
  return {hash.high64, hash.low64};
}

Hash128 HashOf(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.high64, hash.low64};
}

std::string HexOf(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex.push_back(kDigits[value >> 4U]);
    hex.push_back(kDigits[value & 0xFU]);
  }
  return hex;
}

std::string Sha256(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return std::string(reinterpret_cast<const char*>(digest.data()), size);
}

std::string Sha256Hex(std::string_view text) {
  return HexOf(Sha256(text));
}

bool EqualSecrets(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t RendezvousRank(std::string_view key, std::string_view candidate) {
  return RendezvousRank(Hash64(key), candidate);
}

uint64_t RendezvousRank(uint64_t key_hash, std::string_view candidate) {
  return Hash64(candidate, key_hash);
}

}  // namespace coppervalve::core
