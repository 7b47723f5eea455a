#ifndef COPPERVALVE_REQUEST_KEY_NAME_H_
#define COPPERVALVE_REQUEST_KEY_NAME_H_

#include <compare>      // operator<=>
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"

namespace coppervalve::request {

/// @brief One incarnation of a router. A non-idempotent request whose key has
/// its prefix may run only there.
struct Origin {
  core::RouterId router;
  core::Incarnation incarnation;

  friend auto operator<=>(const Origin&, const Origin&) = default;
};

/// @brief An idempotency key sent by a caller.
class KeyName {
 public:
  /// @brief Validates and parses a key.
  /// @return kBadRequest unless it has 1 to 200 printable ASCII characters
  /// @complexity linear in the size of the text
  static core::Result<KeyName> Parse(std::string_view text);

  const std::string& text() const { return m_text; }
  /// @return the incarnation named by the prefix, if there is a prefix
  const std::optional<Origin>& origin() const { return m_origin; }
  /// @brief Hash that identifies the key in the fleet. It includes the account,
  /// so two accounts never share a key.
  core::Hash128 IdentityFor(const core::AccountId& account) const;

 private:
  std::string m_text;
  std::optional<Origin> m_origin;
};

/// @brief The prefix "cv1.<router>.<16 hex digits>." that GET /v1/addresses
/// returns.
std::string KeyPrefix(const Origin& origin);

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_KEY_NAME_H_
