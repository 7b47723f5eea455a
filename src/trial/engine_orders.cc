#include "coppervalve/trial/engine_orders.h"

#include <algorithm>  // any_of
#include <utility>    // move

namespace coppervalve::trial {

void EngineOrders::Configure(const v1::Configuration& configuration) {
  m_fencing_engines.clear();
  for (const v1::Upstream& upstream : configuration.upstreams()) {
    if (upstream.checks_fencing()) {
      m_fencing_engines.insert(core::UpstreamId(upstream.id()));
    }
  }
}

bool EngineOrders::Apply(AppliedOrder order) {
  const bool has_newer = std::any_of(
      m_applied.begin(), m_applied.end(), [&order](const AppliedOrder& other) {
        return other.upstream == order.upstream &&
               other.fencing > order.fencing;
      });
  if (has_newer && m_fencing_engines.contains(order.upstream)) {
    return false;
  }
  m_applied.push_back(std::move(order));
  return true;
}

std::vector<core::FencingNumber> EngineOrders::AppliedAt(
    const std::string& upstream) const {
  std::vector<core::FencingNumber> numbers;
  for (const AppliedOrder& order : m_applied) {
    if (order.upstream.value() == upstream) {
      numbers.push_back(order.fencing);
    }
  }
  return numbers;
}

}  // namespace coppervalve::trial
