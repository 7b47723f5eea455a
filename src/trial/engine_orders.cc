#include "coppervalve/trial/engine_orders.h"

#include <algorithm>  // any_of
#include <utility>    // move

namespace coppervalve::trial {

void EngineOrders::Configure(const v1::Configuration& configuration) {
  m_checking.clear();
  for (const v1::Upstream& upstream : configuration.upstreams()) {
    if (upstream.checks_fencing()) {
      m_checking.insert(core::UpstreamId(upstream.id()));
    }
  }
}

bool EngineOrders::Arrive(AppliedOrder order) {
  const bool overtaken = std::any_of(
      m_applied.begin(), m_applied.end(), [&order](const AppliedOrder& other) {
        return other.upstream == order.upstream &&
               other.fencing > order.fencing;
      });
  if (overtaken && m_checking.contains(order.upstream)) {
    return false;
  }
  m_applied.push_back(std::move(order));
  return true;
}

std::vector<core::FencingNumber> EngineOrders::At(
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
