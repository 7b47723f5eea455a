#include "values.h"

#include <arpa/inet.h>

#include <algorithm>  // all_of
#include <charconv>   // from_chars
#include <cstdint>    // uint16_t
#include <string>     // string

namespace coppervalve::config {

namespace {

constexpr size_t kMaxIdSize = 64;
constexpr size_t kMaxModelSize = 128;
constexpr size_t kMaxHeaderNameSize = 64;
constexpr size_t kMaxMethodSize = 16;
constexpr size_t kSha256HexSize = 64;

bool IsUpper(char c) {
  return c >= 'A' && c <= 'Z';
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

bool IsAlphanumeric(char c) {
  return (c >= 'a' && c <= 'z') || IsUpper(c) || IsDigit(c);
}

template <typename Predicate>
bool HasSizeAndAll(std::string_view text,
                   size_t max_size,
                   Predicate predicate) {
  return !text.empty() && text.size() <= max_size &&
         std::all_of(text.begin(), text.end(), predicate);
}

bool IsOneOf(char c, std::string_view set) {
  return set.find(c) != std::string_view::npos;
}

bool IsPort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, port);
  return error == std::errc{} && stopped == end && port != 0;
}

bool IsIp(int family, std::string_view text) {
  in6_addr address{};
  return inet_pton(family, std::string(text).c_str(), &address) == 1;
}

}  // namespace

bool IsId(std::string_view text) {
  return HasSizeAndAll(text, kMaxIdSize, [](char c) {
    return IsAlphanumeric(c) || IsOneOf(c, "._-");
  });
}

bool IsModelName(std::string_view text) {
  return HasSizeAndAll(text, kMaxModelSize, [](char c) {
    return IsAlphanumeric(c) || IsOneOf(c, "._-:/");
  });
}

bool IsAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1))) {
    return false;
  }
  const std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIp(AF_INET6, host.substr(1, host.size() - 2));
  }
  return IsIp(AF_INET, host);
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kSha256HexSize &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return IsDigit(c) || (c >= 'a' && c <= 'f');
         });
}

bool IsHeaderName(std::string_view text) {
  return HasSizeAndAll(text, kMaxHeaderNameSize, [](char c) {
    return IsAlphanumeric(c) || IsOneOf(c, "!#$%&'*+-.^_`|~");
  });
}

bool IsMethod(std::string_view text) {
  return HasSizeAndAll(text, kMaxMethodSize, IsUpper);
}

bool IsPrintable(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

}  // namespace coppervalve::config
