#ifndef COPPERVALVE_ENTRY_REQUEST_FINGERPRINT_H_
#define COPPERVALVE_ENTRY_REQUEST_FINGERPRINT_H_

#include <compare>      // operator<=>
#include <cstdint>      // uint64_t
#include <string>       // string
#include <string_view>  // string_view
#include <utility>      // move
#include <vector>       // vector

#include "coppervalve/core/ids.h"

namespace coppervalve::entry {

/// @brief The parts of a request that identify it. Ids, deadlines and the event
/// after which a stream resumes are not among them.
struct RequestContent {
  std::string_view method;
  std::string_view target;
  core::AccountId account;  ///< empty on a public route
  std::string_view body;
};

/// @brief Identifies a request by a hash of its content. An account can't craft
/// a request with the fingerprint of another account's request.
struct RequestFingerprint {
  /// A hash that is cheap to compute: requests with different ones differ.
  uint64_t quick_hash = 0;
  std::string digest;  ///< first 16 bytes of a SHA-256 hash

  friend auto operator<=>(const RequestFingerprint&,
                          const RequestFingerprint&) = default;
  /// @return 24 bytes, the format in messages to other routers
  std::string ToBytes() const;
  /// @return an empty digest if the size is not 24
  static RequestFingerprint FromBytes(std::string_view bytes);
  /// @return hex of the first bytes of the digest, for log lines
  std::string ShortHex() const;
};

/// @brief The properties of a request that may crash upstreams: all of its
/// content, or one of the parts of its prompt that other requests have too.
struct RequestTraits {
  // Implicit: most requests have no such parts.
  RequestTraits(RequestFingerprint content_in,
                std::vector<RequestFingerprint> parts_in = {})
      : content(std::move(content_in)), parts(std::move(parts_in)) {}

  RequestFingerprint content;
  std::vector<RequestFingerprint> parts;
};

/// @complexity linear in the target
uint64_t QuickHashOf(const RequestContent& content);
/// @complexity linear in the body
RequestFingerprint FingerprintOf(const RequestContent& content);

/// @brief The same for a part of a prompt. It is the same part for all
/// accounts, as upstreams share its cache entries between them.
uint64_t QuickHashOfPart(const core::ServiceId& service, std::string_view part);
RequestFingerprint FingerprintOfPart(const core::ServiceId& service,
                                     std::string_view part);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_REQUEST_FINGERPRINT_H_
