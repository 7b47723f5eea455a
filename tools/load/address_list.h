#ifndef COPPERVALVE_TOOLS_LOAD_ADDRESS_LIST_H_
#define COPPERVALVE_TOOLS_LOAD_ADDRESS_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>   // size_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "tools/load/clock.h"

namespace coppervalve::load {

/// @brief One address of the fleet's answer.
struct FleetAddress {
  std::string address;
  std::string key_prefix;
};

/// @brief The addresses that the fleet told a caller, kept for their lifetime.
/// For one thread.
class AddressList {
 public:
  /// @param routers asked one after the other until one answers
  /// @param first_router place of the one to ask first
  AddressList(std::vector<std::string> routers,
              std::string api_key,
              size_t first_router);

  /// @brief The address to use for an attempt.
  /// @param place 0 for a request's first attempt; past the end, the list has
  /// failed as a whole and is asked for again
  /// @return nothing while no router answers
  boost::asio::awaitable<std::optional<FleetAddress>> At(size_t place);

 private:
  boost::asio::awaitable<void> Refresh();
  boost::asio::awaitable<bool> Ask(std::string router);

  std::vector<std::string> m_routers;
  std::string m_api_key;
  std::vector<FleetAddress> m_addresses;
  Clock::time_point m_asked_at;
  Clock::time_point m_expires_at;
  bool m_asking = false;
  size_t m_next_router;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_ADDRESS_LIST_H_
