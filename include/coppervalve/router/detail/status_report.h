#ifndef COPPERVALVE_ROUTER_DETAIL_STATUS_REPORT_H_
#define COPPERVALVE_ROUTER_DETAIL_STATUS_REPORT_H_

#include "coppervalve/core/units.h"
#include "coppervalve/membership/drain.h"
#include "coppervalve/operator.pb.h"
#include "coppervalve/router/detail/session.h"

namespace coppervalve::router::detail {

/// @brief Inputs of a status report.
struct StatusSources {
  const RouterSettings& settings;
  core::Incarnation incarnation;
  Phase phase;
  membership::DrainPhase drain;
  bool stale;
  const LogAccess& log;
  const PeerManager& peers;
  const BudgetManager& budgets;
  const RequestFlow& flow;
  const ActiveConfiguration& configured;
};

/// @brief Builds the answer of GET /admin/status.
/// @complexity linear in the upstreams, the peers and the budgets used here
v1::RouterStatus ReportStatus(core::TimePoint now,
                              const StatusSources& sources);

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_STATUS_REPORT_H_
