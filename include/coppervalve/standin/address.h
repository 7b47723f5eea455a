#ifndef COPPERVALVE_STANDIN_ADDRESS_H_
#define COPPERVALVE_STANDIN_ADDRESS_H_

#include <cstdint>      // uint16_t
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"

namespace coppervalve::standin {

/// @brief A loopback TCP address.
struct Address {
  std::string ip;
  uint16_t port = 0;
};

/// @brief Parses "ip:port".
/// @return kSettingBadValue unless the IP address is a loopback address
/// (127.x.y.z) and the port is a number above 0
core::Result<Address> ParseAddress(std::string_view text);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_ADDRESS_H_
