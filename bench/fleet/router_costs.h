#ifndef BENCH_FLEET_ROUTER_COSTS_H_
#define BENCH_FLEET_ROUTER_COSTS_H_

#include <cstddef>  // size_t
#include <string>   // string
#include <vector>   // vector

namespace coppervalve::bench {

/// @brief A fleet as one of its routers sees it.
struct FleetSize {
  size_t routers = 0;
  size_t upstreams = 0;
  size_t accounts = 0;
};

/// @return a fleet with ten upstreams and a third of an account per router
FleetSize SizeFor(size_t routers);

/// @brief Cost of one event at one router.
struct EventCost {
  std::string event;
  double allocations = 0;   ///< repeatable
  double looked_at = 0;     ///< records or upstreams considered; repeatable
  double microseconds = 0;  ///< processor time of this run
};

/// @brief Measures the costs of a router's events at a fleet size, with its
/// real decisions.
std::vector<EventCost> MeasureRouterCosts(const FleetSize& size);

/// @brief How a cost grows with the fleet.
/// @return the exponent p of the best fit of cost ~ routers^p; 0 if the cost is
/// constant
double GrowthExponent(const std::vector<double>& routers,
                      const std::vector<double>& costs);

}  // namespace coppervalve::bench

#endif  // BENCH_FLEET_ROUTER_COSTS_H_
