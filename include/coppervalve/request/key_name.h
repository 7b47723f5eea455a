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

/// @brief One incarnation of a router: the only place where a non-idempotent
/// request under a key with its prefix may run.
struct Origin {
  core::RouterId router;
  core::Incarnation incarnation;

  friend auto operator<=>(const Origin&, const Origin&) = default;
};

/// @brief An idempotency key as callers send it.
class KeyName {
 public:
  /// @brief Checks and takes apart a key.
  /// @return kBadRequest unless it has 1 to 200 printable ASCII characters
  /// @complexity linear in the size of the text
  static core::Result<KeyName> Parse(std::string_view text);

  const std::string& text() const { return m_text; }
  /// @return the incarnation that the prefix names; none without a prefix
  const std::optional<Origin>& origin() const { return m_origin; }
  /// @brief What the fleet knows the key by. Accounts never share one: the
  /// account is part of it.
  core::Hash128 IdentityFor(const core::AccountId& account) const;

 private:
  std::string m_text;
  std::optional<Origin> m_origin;
};

/// @brief The prefix "cv1.<router>.<16 hex digits>." that the address answer
/// hands out.
std::string KeyPrefix(const Origin& origin);

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_KEY_NAME_H_
