#include "coppervalve/request/key_name.h"

#include <algorithm>  // all_of
#include <charconv>   // from_chars, to_chars
#include <cstdint>    // uint64_t

namespace coppervalve::request {

namespace {

constexpr size_t kMaxKeySize = 200;
constexpr std::string_view kScheme = "cv1.";
constexpr size_t kHexDigits = 16;
constexpr int kHexBase = 16;

bool IsPrintable(char c) {
  return c >= ' ' && c <= '~';
}

bool IsLowerHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

struct Prefix {
  Origin origin;
  size_t size = 0;
};

/// Parses a prefix whose incarnation starts after the dot at `dot`.
std::optional<Prefix> PrefixAt(std::string_view text, size_t dot) {
  const size_t end = dot + 1 + kHexDigits;
  if (end >= text.size() || text[end] != '.') {
    return std::nullopt;
  }
  const std::string_view hex = text.substr(dot + 1, kHexDigits);
  if (!std::all_of(hex.begin(), hex.end(), IsLowerHex)) {
    return std::nullopt;
  }
  uint64_t incarnation = 0;
  std::from_chars(hex.data(), hex.data() + hex.size(), incarnation, kHexBase);
  const std::string_view router =
      text.substr(kScheme.size(), dot - kScheme.size());
  return Prefix{
      {core::RouterId(std::string(router)), core::Incarnation(incarnation)},
      end + 1};
}

/// Router ids may contain dots, so the id ends at the first dot followed by an
/// incarnation.
std::optional<Prefix> FindPrefix(std::string_view text) {
  if (!text.starts_with(kScheme)) {
    return std::nullopt;
  }
  size_t dot = text.find('.', kScheme.size() + 1);
  while (dot != std::string_view::npos) {
    if (std::optional<Prefix> prefix = PrefixAt(text, dot)) {
      return prefix;
    }
    dot = text.find('.', dot + 1);
  }
  return std::nullopt;
}

core::Error BadKey(std::string_view detail) {
  return {core::ErrorId::kBadRequest, "idempotency-key", std::string(detail)};
}

}  // namespace

core::Result<KeyName> KeyName::Parse(std::string_view text) {
  if (text.empty() || text.size() > kMaxKeySize) {
    return BadKey("must have 1 to 200 characters");
  }
  if (!std::all_of(text.begin(), text.end(), IsPrintable)) {
    return BadKey("must be printable ASCII");
  }
  KeyName key;
  key.m_text = text;
  const std::optional<Prefix> prefix = FindPrefix(text);
  if (!prefix) {
    return key;
  }
  // A caller that sends only the prefix would use one key for all its requests.
  if (prefix->size == text.size()) {
    return BadKey("must have characters after the prefix");
  }
  key.m_origin = prefix->origin;
  return key;
}

core::Hash128 KeyName::IdentityFor(const core::AccountId& account) const {
  std::string identity = account.value();
  identity.push_back('\0');
  identity += m_text;
  return core::HashOf(identity);
}

std::string KeyPrefix(const Origin& origin) {
  std::string hex(kHexDigits, '0');
  std::string digits(kHexDigits, '\0');
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 origin.incarnation.value(), kHexBase)
                       .ptr;
  const auto size = static_cast<size_t>(end - digits.data());
  hex.replace(kHexDigits - size, size, digits, 0, size);
  return std::string(kScheme) + origin.router.value() + '.' + hex + '.';
}

}  // namespace coppervalve::request
