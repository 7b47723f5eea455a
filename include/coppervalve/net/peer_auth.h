#ifndef COPPERVALVE_NET_PEER_AUTH_H_
#define COPPERVALVE_NET_PEER_AUTH_H_

#include <chrono>         // seconds
#include <cstddef>        // size_t
#include <cstdint>        // int64_t
#include <mutex>          // mutex
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_set>  // unordered_set

#include "coppervalve/core/hash.h"
#include "coppervalve/core/result.h"

namespace coppervalve::net {

/// @brief Seconds since 1970 by the machine's wall clock.
using UnixSeconds = std::chrono::seconds;

/// @brief Makes the proof that one stream carries:
/// `<unix seconds>.<nonce>.<hex HMAC-SHA256>`.
class PeerSigner {
 public:
  explicit PeerSigner(std::string secret);

  /// @param signed_text everything that the proof vouches for
  /// @return kPeerProtocol when the machine gives no random bytes
  core::Result<std::string> Sign(std::string_view signed_text,
                                 UnixSeconds now) const;

  /// @brief What an answer carries to prove that its sender has the secret too.
  /// @param proof the proof of the request that is answered
  std::string ReplyProof(std::string_view proof) const;

 private:
  std::string m_secret;
};

/// @brief Judges proofs and remembers their nonces, so that none counts twice.
/// Safe to call from several threads.
class PeerVerifier {
 public:
  /// How far the clocks of two routers may differ.
  static constexpr UnixSeconds kMaxSkew{60};
  /// Nonces kept of one period of 2 * kMaxSkew; about 8,700 streams a second.
  static constexpr size_t kMaxNonces = size_t{1} << 20U;

  explicit PeerVerifier(std::string secret);

  /// @return kPeerProtocol when the proof is malformed, made with another
  /// secret or for another text, too old, too new, or seen before
  core::Status Check(std::string_view proof,
                     std::string_view signed_text,
                     UnixSeconds now);

 private:
  bool Remember(std::string_view nonce, UnixSeconds now);

  std::string m_secret;
  std::mutex m_mutex;
  UnixSeconds m_rotated{0};
  std::unordered_set<core::Hash128> m_current;
  std::unordered_set<core::Hash128> m_previous;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_AUTH_H_
