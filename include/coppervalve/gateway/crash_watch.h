#ifndef COPPERVALVE_GATEWAY_CRASH_WATCH_H_
#define COPPERVALVE_GATEWAY_CRASH_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <functional>   // function
#include <string_view>  // string_view

#include "coppervalve/entry/crash_record.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/upstream_check.h"

namespace coppervalve::gateway {

/// @brief Feeds the record of crashes with what really ended: upstreams that
/// are well break connections too.
class CrashWatch {
 public:
  struct Hooks {
    /// Other routers should hear soon of what changed.
    std::function<void()> tell;
  };

  CrashWatch(boost::asio::io_context& io, EventLog& log, Hooks hooks);

  /// @brief An answer broke off, or nothing came in time.
  void OnBroken(const entry::UpstreamRef& upstream,
                const entry::RequestFingerprint& request);
  /// @brief A start of an upstream is known to have ended.
  /// @param by what showed it
  void OnEnded(const entry::UpstreamEntry& entry, std::string_view by);
  /// @brief An upstream ran a request to its end.
  void OnSurvived(const entry::RequestFingerprint& request);
  /// @brief Another router's beat was read.
  void OnBeat(const v1::RouterBeat& beat);

  entry::CrashRecord& record() { return m_record; }

 private:
  void TellQuarantined(const entry::RequestFingerprint& request,
                       std::string_view by);

  EventLog& m_log;
  Hooks m_hooks;
  UpstreamCheck m_check;
  entry::CrashRecord m_record;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_CRASH_WATCH_H_
