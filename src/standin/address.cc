#include "coppervalve/standin/address.h"

#include <charconv>      // from_chars
#include <system_error>  // errc

namespace coppervalve::standin {

namespace {

// Stand-ins accept commands without authentication, so they listen on loopback
// only.
constexpr std::string_view kLoopbackPrefix = "127.";

core::Error BadAddress(std::string_view text, std::string_view detail) {
  return {core::ErrorId::kSettingBadValue, std::string(text),
          std::string(detail)};
}

}  // namespace

core::Result<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return BadAddress(text, "expected ip:port");
  }
  const std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (!ip.starts_with(kLoopbackPrefix)) {
    return BadAddress(text, "not a loopback address");
  }
  Address address{std::string(ip), 0};
  const char* end = port_text.data() + port_text.size();
  const auto [parsed, error] =
      std::from_chars(port_text.data(), end, address.port);
  if (error != std::errc() || parsed != end || address.port == 0) {
    return BadAddress(text, "bad port");
  }
  return address;
}

}  // namespace coppervalve::standin
