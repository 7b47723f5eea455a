#include "coppervalve/net/peer_auth.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>         // array
#include <charconv>      // from_chars
#include <cstdint>       // int64_t
#include <optional>      // optional
#include <span>          // span
#include <string>        // string, to_string
#include <string_view>   // string_view
#include <system_error>  // errc
#include <utility>       // move

#include "coppervalve/core/error.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/result.h"

namespace coppervalve::net {
namespace {

constexpr size_t kNonceBytes = 16;
constexpr char kSeparator = '.';

std::string ToHex(std::span<const unsigned char> bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const unsigned char byte : bytes) {
    hex.push_back(kDigits[byte >> 4U]);
    hex.push_back(kDigits[byte & 0xFU]);
  }
  return hex;
}

std::string HmacHex(std::string_view secret, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       mac.data(), &size);
  return ToHex(std::span(mac).first(size));
}

// Time and nonce come before the text and contain no line feed, so that a proof
// is valid only for one time and one stream.
std::string ProofMac(std::string_view secret,
                     std::string_view time,
                     std::string_view nonce,
                     std::string_view signed_text) {
  std::string text("coppervalve peer request\n");
  text.append(time).append("\n").append(nonce).append("\n");
  text.append(signed_text);
  return HmacHex(secret, text);
}

struct ProofParts {
  std::string_view time;
  std::string_view nonce;
  std::string_view mac;
};

std::optional<ProofParts> Split(std::string_view proof) {
  const size_t first = proof.find(kSeparator);
  if (first == std::string_view::npos) {
    return std::nullopt;
  }
  const size_t second = proof.find(kSeparator, first + 1);
  if (second == std::string_view::npos) {
    return std::nullopt;
  }
  return ProofParts{proof.substr(0, first),
                    proof.substr(first + 1, second - first - 1),
                    proof.substr(second + 1)};
}

std::optional<UnixSeconds> ParseTime(std::string_view text) {
  int64_t seconds = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, seconds);
  if (error != std::errc{} || stopped != end || seconds < 0) {
    return std::nullopt;
  }
  return UnixSeconds(seconds);
}

core::Error AuthError(std::string detail) {
  return core::Error{core::ErrorId::kPeerProtocol, "x-peer-auth",
                     std::move(detail)};
}

}  // namespace

PeerSigner::PeerSigner(std::string secret) : m_secret(std::move(secret)) {}

core::Result<std::string> PeerSigner::Sign(std::string_view signed_text,
                                           UnixSeconds now) const {
  std::array<unsigned char, kNonceBytes> random{};
  if (RAND_bytes(random.data(), kNonceBytes) != 1) {
    return AuthError("no random bytes for the nonce");
  }
  const std::string time = std::to_string(now.count());
  const std::string nonce = ToHex(random);
  return time + kSeparator + nonce + kSeparator +
         ProofMac(m_secret, time, nonce, signed_text);
}

std::string PeerSigner::ReplyProof(std::string_view proof) const {
  // The prefix differs from that of requests, so that a reply proof cannot be
  // replayed as the proof of a request.
  std::string text("coppervalve peer reply\n");
  text.append(proof);
  return HmacHex(m_secret, text);
}

PeerVerifier::PeerVerifier(std::string secret) : m_secret(std::move(secret)) {}

core::Status PeerVerifier::Check(std::string_view proof,
                                 std::string_view signed_text,
                                 UnixSeconds now) {
  const std::optional<ProofParts> parts = Split(proof);
  if (!parts) {
    return AuthError("malformed");
  }
  const std::optional<UnixSeconds> time = ParseTime(parts->time);
  if (!time) {
    return AuthError("malformed time");
  }
  // The MAC is verified first, so that unauthenticated clients learn nothing
  // about the clock and cannot fill the set of nonces.
  const std::string expected =
      ProofMac(m_secret, parts->time, parts->nonce, signed_text);
  if (!core::EqualSecrets(expected, parts->mac)) {
    return AuthError("made with another secret or for another request");
  }
  if (*time > now + kMaxSkew || *time < now - kMaxSkew) {
    return AuthError("the clocks differ by more than 60 s");
  }
  if (!RecordNonce(parts->nonce, now)) {
    return AuthError("nonce seen before, or too many nonces");
  }
  return core::Ok();
}

bool PeerVerifier::RecordNonce(std::string_view nonce, UnixSeconds now) {
  // Prevents a replayed stream from delivering a message or request twice. A
  // proof is valid for at most 2 * kMaxSkew of the local clock. A nonce is kept
  // at least that long: the sets rotate no sooner, and a nonce stays through
  // one full rotation. A full set refuses, which is safe; senders see a failed
  // stream and may retry later.
  constexpr UnixSeconds kPeriod = 2 * kMaxSkew + UnixSeconds(1);
  const core::Hash128 key = core::HashOf(nonce);
  const std::lock_guard lock(m_mutex);
  if (now >= m_rotated + kPeriod) {
    m_previous = std::move(m_current);
    m_current.clear();
    m_rotated = now;
  }
  if (m_previous.contains(key) || m_current.size() >= kMaxNonces) {
    return false;
  }
  return m_current.insert(key).second;
}

}  // namespace coppervalve::net
