#include "coppervalve/entry/limit_reports.h"

#include <algorithm>  // sort
#include <chrono>     // duration_cast, milliseconds
#include <cmath>      // isfinite
#include <optional>   // optional
#include <vector>     // vector

namespace coppervalve::entry {

namespace {

using std::chrono::milliseconds;

// A limit is reported for as long as routers consider it recent.
constexpr core::Duration kReportFor = LimitOptions{}.fresh_for;
// Keeps a report within one packet.
constexpr size_t kMaxReported = 50;

}  // namespace

void AddLimitsToReport(const UpstreamDirectory& directory,
                       core::TimePoint now,
                       v1::LoadReport& report) {
  if (!directory.limits_received()) {
    return;
  }
  std::vector<UpstreamRef> reported;
  for (const auto& [id, upstream] : directory.all()) {
    const auto at = upstream->limit.directly_received_at();
    if (at && now - *at < kReportFor) {
      reported.push_back(upstream);
    }
  }
  if (reported.size() > kMaxReported) {
    // Keep the newest; older ones were in earlier reports.
    std::sort(reported.begin(), reported.end(),
              [](const UpstreamRef& a, const UpstreamRef& b) {
                return *a->limit.directly_received_at() >
                       *b->limit.directly_received_at();
              });
    reported.resize(kMaxReported);
  }
  for (const UpstreamRef& upstream : reported) {
    v1::UpstreamLimit* limit = report.add_limits();
    limit->set_upstream(upstream->load_key);
    if (const auto per_second = upstream->limit.per_second()) {
      limit->set_per_second(*per_second);
    }
    const core::Duration age = now - *upstream->limit.directly_received_at();
    limit->set_age_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(age).count()));
  }
}

void ApplyReportedLimits(const v1::LoadReport& report,
                         core::TimePoint now,
                         UpstreamDirectory& directory) {
  for (const v1::UpstreamLimit& limit : report.limits()) {
    const UpstreamRef upstream = directory.FindByLoadKey(limit.upstream());
    if (!upstream) {
      continue;
    }
    std::optional<double> per_second;
    if (limit.has_per_second()) {
      per_second = limit.per_second();
    }
    const double rate = per_second.value_or(0);
    if (!std::isfinite(rate) || rate < 0) {
      continue;
    }
    upstream->limit.OnPeerReport(per_second,
                                 now - milliseconds(limit.age_ms()));
  }
}

}  // namespace coppervalve::entry
