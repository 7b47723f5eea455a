#ifndef COPPERVALVE_TRIAL_ENGINE_ORDERS_H_
#define COPPERVALVE_TRIAL_ENGINE_ORDERS_H_

#include <set>     // set
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::trial {

/// @brief An order that took effect at an engine.
struct AppliedOrder {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  v1::OrderIssued order;
};

/// @brief Records the orders that took effect at engines, in order of arrival.
class EngineOrders {
 public:
  /// @brief Sets which engines check fencing numbers.
  void Configure(const v1::Configuration& configuration);
  /// @return false if refused: the engine checks fencing numbers and has
  /// applied a newer one
  bool Apply(AppliedOrder order);

  const std::vector<AppliedOrder>& applied() const { return m_applied; }
  /// @return the numbers applied at one engine, in order of arrival
  std::vector<core::FencingNumber> AppliedAt(const std::string& upstream) const;

 private:
  std::set<core::UpstreamId> m_fencing_engines;
  std::vector<AppliedOrder> m_applied;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_ENGINE_ORDERS_H_
