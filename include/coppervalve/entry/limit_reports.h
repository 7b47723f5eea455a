#ifndef COPPERVALVE_ENTRY_LIMIT_REPORTS_H_
#define COPPERVALVE_ENTRY_LIMIT_REPORTS_H_

#include "coppervalve/core/units.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::entry {

/// @brief Adds the rate limits that upstreams recently sent to this router
/// itself to a report. Limits learned from other routers are left out:
/// forwarded on and on, they would never expire.
/// @complexity linear in the upstreams, once any of them sent a limit
void AddLimitsToReport(const UpstreamDirectory& directory,
                       core::TimePoint now,
                       v1::LoadReport& report);

/// @brief Applies the limits in another router's report.
/// @complexity linear in the limits of the report
void ApplyReportedLimits(const v1::LoadReport& report,
                         core::TimePoint now,
                         UpstreamDirectory& directory);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_LIMIT_REPORTS_H_
