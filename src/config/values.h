#ifndef COPPERVALVE_CONFIG_VALUES_H_
#define COPPERVALVE_CONFIG_VALUES_H_

#include <string_view>  // string_view

/// Format checks for single values in the operators' file.
namespace coppervalve::config {

/// @return whether the text is an id: 1 to 64 of A-Z a-z 0-9 . _ -
bool IsId(std::string_view text);
/// @return whether the text is a model's name: an id's characters, `:` and `/`,
/// at most 128
bool IsModelName(std::string_view text);
/// @return whether the text is `ip:port` (IPv6 in brackets), port 1 to 65535
bool IsAddress(std::string_view text);
/// @return whether the text is 64 lower-case hex digits
bool IsSha256Hex(std::string_view text);
/// @return whether the text is a header's name (RFC 9110 token)
bool IsHeaderName(std::string_view text);
/// @return whether the text is an upper-case method name
bool IsMethod(std::string_view text);
/// @return whether all bytes are printable ASCII or spaces
bool IsPrintable(std::string_view text);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_VALUES_H_
