#ifndef COPPERVALVE_NET_SHELL_SETTINGS_H_
#define COPPERVALVE_NET_SHELL_SETTINGS_H_

#include <chrono>   // milliseconds
#include <cstddef>  // size_t
#include <string>   // string

#include "coppervalve/net/caller_server.h"

namespace coppervalve::net {

/// @brief Settings of the shell; all addresses are "ip:port".
struct ShellSettings {
  std::string router_id;
  std::string caller_listen;
  std::string operator_listen;
  std::string peer_listen;  ///< empty: peer links are disabled
  std::string log_address;
  std::string vm_list_address;  ///< empty: the VM list is not polled
  std::string operator_token;
  std::string peer_secret;
  size_t traffic_threads = 2;
  CallerLimits caller;

  /// Limit for an answer that is not streamed.
  size_t max_answer_bytes = size_t{8} * 1024 * 1024;
  /// Limits for answers stored for repeated requests: one answer, and all.
  size_t max_kept_answer_bytes = size_t{1} * 1024 * 1024;
  size_t max_kept_bytes = size_t{128} * 1024 * 1024;

  std::chrono::milliseconds connect_timeout{1'000};
  /// Timeout of a call to the log service, in addition to the long-poll time of
  /// a read.
  std::chrono::milliseconds log_timeout{3'000};
  std::chrono::milliseconds probe_timeout{1'000};
  /// Time for an engine to acknowledge an order; after a timeout the outcome is
  /// unknown.
  std::chrono::milliseconds order_timeout{30'000};
  std::chrono::milliseconds vm_list_interval{2'000};
  /// Time for open connections to close after the drain is complete.
  std::chrono::milliseconds close_timeout{10'000};
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_SHELL_SETTINGS_H_
