#include "coppervalve/gateway/crash_watch.h"

namespace coppervalve::gateway {

void CrashWatch::OnBroken(const entry::UpstreamRef& upstream) {
  m_check.Ask(upstream->entry.address,
              [this, upstream] { OnEnded(upstream->entry, "refused"); });
}

void CrashWatch::OnEnded(const entry::UpstreamEntry& entry,
                         std::string_view by) {
  m_log.Write(LineKind::kLifecycle, LogLine("upstream_ended")
                                        .Text("upstream", entry.id.value())
                                        .Text("address", entry.address)
                                        .Text("by", by));
}

}  // namespace coppervalve::gateway
