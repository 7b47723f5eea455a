#ifndef COPPERVALVE_TOOLS_LOAD_ADDRESS_LIST_H_
#define COPPERVALVE_TOOLS_LOAD_ADDRESS_LIST_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>   // size_t
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "tools/load/clock.h"

namespace coppervalve::load {

/// @brief One address of the fleet's address list.
struct FleetAddress {
  std::string address;
  std::string key_prefix;
};

/// @brief The address list that a caller got from the fleet, cached for its
/// lifetime. Not thread-safe.
class AddressList {
 public:
  /// @param routers queried in turn until one answers
  /// @param first_router index of the router to query first
  AddressList(std::vector<std::string> routers,
              std::string api_key,
              size_t first_router);

  /// @brief Returns the address to use for an attempt.
  /// @param attempt 0 for the first attempt of a request; after all addresses
  /// have been tried, the list is requested again
  /// @return nothing when no router answers
  boost::asio::awaitable<std::optional<FleetAddress>> AddressFor(
      size_t attempt);

 private:
  boost::asio::awaitable<void> Refresh();
  boost::asio::awaitable<bool> QueryRouter(std::string router);

  std::vector<std::string> m_routers;
  std::string m_api_key;
  std::vector<FleetAddress> m_addresses;
  Clock::time_point m_refreshed_at;
  Clock::time_point m_expires_at;
  bool m_refreshing = false;
  size_t m_next_router;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_ADDRESS_LIST_H_
