#ifndef COPPERVALVE_GATEWAY_CRASH_MONITOR_H_
#define COPPERVALVE_GATEWAY_CRASH_MONITOR_H_

#include <functional>   // function
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/entry/crash_record.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/upstream_check.h"

namespace coppervalve::gateway {

/// @brief Reports crashes of upstreams to the crash record. Healthy upstreams
/// drop connections too, so a crash counts only once it is confirmed.
class CrashMonitor {
 public:
  struct Hooks {
    /// Called when the record changes, so that the change is published soon.
    std::function<void()> on_change;
    /// Finds out whether other routers are refused by an upstream too; calls
    /// the handler if so.
    std::function<void(const entry::UpstreamEntry&,
                       std::function<void()> on_refused)>
        ask_others;
  };

  /// @param dialer outlives the monitor
  CrashMonitor(const Dialer& dialer, EventLog& log, Hooks hooks);

  /// @brief A response was cut off, or did not come in time.
  /// @param writing how long the upstream had been writing the response
  void OnBroken(const entry::UpstreamRef& upstream,
                const entry::RequestTraits& request,
                core::Duration writing);
  /// @brief An instance of an upstream is known to have ended.
  /// @param by how this was detected, for the log
  void OnTerminated(const entry::UpstreamEntry& entry, std::string_view by);
  /// @brief An upstream ran the request to completion.
  void OnSurvived(const entry::RequestTraits& request);
  /// @brief Another router's heartbeat was read.
  void OnHeartbeat(const v1::RouterBeat& beat);
  /// @brief A router that reads all heartbeats told its verdicts.
  void OnVerdicts(const std::vector<v1::CrashCase>& verdicts);

  entry::CrashRecord& record() { return m_record; }

 private:
  void LogNewlyQuarantined(std::string_view by);

  EventLog& m_log;
  Hooks m_hooks;
  UpstreamCheck m_check;
  entry::CrashRecord m_record;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_CRASH_MONITOR_H_
