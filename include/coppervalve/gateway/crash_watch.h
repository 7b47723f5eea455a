#ifndef COPPERVALVE_GATEWAY_CRASH_WATCH_H_
#define COPPERVALVE_GATEWAY_CRASH_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <string_view>  // string_view

#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/upstream_check.h"

namespace coppervalve::gateway {

/// @brief Finds out which upstreams ended, and not only a connection to them:
/// upstreams that are well break connections too.
class CrashWatch {
 public:
  CrashWatch(boost::asio::io_context& io, EventLog& log)
      : m_log(log), m_check(io) {}

  /// @brief An answer of an upstream broke off.
  void OnBroken(const entry::UpstreamRef& upstream);
  /// @brief A start of an upstream is known to have ended.
  /// @param by what showed it
  void OnEnded(const entry::UpstreamEntry& entry, std::string_view by);

 private:
  EventLog& m_log;
  UpstreamCheck m_check;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_CRASH_WATCH_H_
