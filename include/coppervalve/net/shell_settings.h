#ifndef COPPERVALVE_NET_SHELL_SETTINGS_H_
#define COPPERVALVE_NET_SHELL_SETTINGS_H_

#include <chrono>   // milliseconds
#include <cstddef>  // size_t
#include <string>   // string

#include "coppervalve/net/caller_server.h"

namespace coppervalve::net {

/// @brief What the shell must be told; all addresses are "ip:port".
struct ShellSettings {
  std::string router_id;
  std::string caller_listen;
  std::string operator_listen;
  std::string peer_listen;  ///< empty: no links to other routers
  std::string log_address;
  std::string vm_list_address;  ///< empty: not asked
  std::string operator_token;
  std::string peer_secret;
  size_t traffic_threads = 2;
  CallerLimits caller;

  /// Bound of an answer that comes in one piece.
  size_t max_answer_bytes = size_t{8} * 1024 * 1024;
  /// Bounds of the answers kept for callers that come again.
  size_t max_kept_answer_bytes = size_t{1} * 1024 * 1024;
  size_t max_kept_bytes = size_t{128} * 1024 * 1024;

  std::chrono::milliseconds connect_timeout{1'000};
  /// Beyond the wait that the log service was asked for.
  std::chrono::milliseconds log_timeout{3'000};
  std::chrono::milliseconds probe_timeout{1'000};
  /// For an engine to acknowledge an order; after it the outcome is unknown.
  std::chrono::milliseconds order_timeout{30'000};
  std::chrono::milliseconds vm_list_interval{2'000};
  /// How long open connections may take to end once the drain is complete.
  std::chrono::milliseconds close_patience{10'000};
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_SHELL_SETTINGS_H_
