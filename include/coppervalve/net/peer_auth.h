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

/// @brief Wall-clock time in seconds since 1970.
using UnixSeconds = std::chrono::seconds;

/// @brief Creates the authentication proof of a stream:
/// `<unix seconds>.<nonce>.<hex HMAC-SHA256>`.
class PeerSigner {
 public:
  explicit PeerSigner(std::string secret);

  /// @param signed_text the text that the HMAC covers
  /// @return kPeerProtocol when the system provides no random bytes
  core::Result<std::string> Sign(std::string_view signed_text,
                                 UnixSeconds now) const;

  /// @brief Creates the proof of a reply: it shows that the replying router has
  /// the secret too.
  /// @param proof the proof of the request that is answered
  std::string ReplyProof(std::string_view proof) const;

 private:
  std::string m_secret;
};

/// @brief Verifies proofs and records their nonces, so that a replayed proof is
/// rejected. Thread-safe.
class PeerVerifier {
 public:
  /// Largest accepted difference between the clocks of two routers.
  static constexpr UnixSeconds kMaxSkew{60};
  /// Nonces recorded per period of 2 * kMaxSkew; allows about 8,700 streams a
  /// second.
  static constexpr size_t kMaxNonces = size_t{1} << 20U;

  explicit PeerVerifier(std::string secret);

  /// @return kPeerProtocol when the proof is malformed, made with another
  /// secret or for another text, too old, too new, or seen before
  core::Status Check(std::string_view proof,
                     std::string_view signed_text,
                     UnixSeconds now);

 private:
  bool RecordNonce(std::string_view nonce, UnixSeconds now);

  std::string m_secret;
  std::mutex m_mutex;
  UnixSeconds m_rotated{0};
  std::unordered_set<core::Hash128> m_current;
  std::unordered_set<core::Hash128> m_previous;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_AUTH_H_
