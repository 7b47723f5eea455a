#include "coppervalve/gateway/crash_monitor.h"

#include <utility>  // move
#include <vector>   // vector

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

CrashMonitor::CrashMonitor(const Dialer& dialer, EventLog& log, Hooks hooks)
    : m_log(log), m_hooks(std::move(hooks)), m_check(dialer), m_record({}) {}

// An upstream's entry expires only seconds after a crash, while callers retry
// immediately. A connection attempt to its address shows the crash at once. A
// partition that resets connections looks the same from one router.
void CrashMonitor::OnBroken(const entry::UpstreamRef& upstream,
                            const entry::RequestTraits& request,
                            core::Duration writing) {
  m_record.OnBroken(request, entry::StartOf(upstream->entry), net::BootNow(),
                    writing);
  m_check.Start(upstream->entry.address, [this, upstream] {
    m_hooks.ask_others(upstream->entry, [this, upstream] {
      OnTerminated(upstream->entry, "refused");
    });
  });
}

void CrashMonitor::OnTerminated(const entry::UpstreamEntry& entry,
                                std::string_view by) {
  const std::vector<entry::RequestFingerprint> under =
      m_record.OnTerminated(entry::StartOf(entry), net::BootNow());
  if (under.empty()) {
    return;
  }
  m_log.Write(LogCategory::kLifecycle,
              LogLine("upstream_ended")
                  .Text("upstream", entry.id.value())
                  .Text("address", entry.address)
                  .Text("by", by)
                  .Number("requests", static_cast<int64_t>(under.size())));
  LogNewlyQuarantined("this_router");
  m_hooks.on_change();
}

void CrashMonitor::OnSurvived(const entry::RequestTraits& request) {
  if (m_record.OnSurvived(request, net::BootNow())) {
    m_hooks.on_change();
  }
}

void CrashMonitor::OnHeartbeat(const v1::RouterBeat& beat) {
  m_record.OnHeartbeat(beat, net::BootNow());
  LogNewlyQuarantined("another_router");
}

void CrashMonitor::OnVerdicts(const std::vector<v1::CrashCase>& verdicts) {
  m_record.OnVerdicts(verdicts, net::BootNow());
  LogNewlyQuarantined("another_router");
}

void CrashMonitor::LogNewlyQuarantined(std::string_view by) {
  for (const entry::Suspicion& quarantined : m_record.TakeNewlyQuarantined()) {
    LogLine line = quarantined.part ? LogLine("prompt_part_quarantined")
                                    : LogLine("request_quarantined");
    line.Text("content", quarantined.trait.ShortHex())
        .Text("by", by)
        .Millis("refused_ms", m_record.RemainingQuarantine(quarantined.trait,
                                                           net::BootNow()));
    m_log.Write(LogCategory::kLifecycle, line);
  }
}

}  // namespace coppervalve::gateway
