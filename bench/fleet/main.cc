#include <CLI/CLI.hpp>  // App

#include <cstdio>  // printf
#include <map>     // map
#include <string>  // string
#include <vector>  // vector

#include "bench/fleet/router_costs.h"

namespace {

using namespace coppervalve::bench;

/// Highest exponents with which the repeatable costs of an event may grow.
struct EventBound {
  double allocations = 0;
  double looked_at = 0;
};

// An event of one other router or upstream must cost the same in any fleet.
// Only events that list all of something may grow with its number. Exponents
// of logarithmic structures stay below the tolerance.
constexpr double kTolerance = 0.15;
const std::map<std::string, EventBound> kBounds{
    {"heartbeat of a standby", {0, 0}},
    {"heartbeat with claims", {1, 1}},
    {"tick", {1, 1}},
    {"view of the fleet", {1, 1}},
    {"request placed", {0, 0}},
    {"claims written", {1, 1}},
    {"upstream changed", {0, 0}},
    {"upstream new", {0, 0}},
    {"upstream gone", {0, 0}},
    {"first list of upstreams", {1, 1}},
};

struct Series {
  std::vector<double> allocations;
  std::vector<double> looked_at;
  std::vector<double> microseconds;
};

bool Report(const std::string& event,
            const std::vector<double>& routers,
            const Series& series) {
  const EventBound& bound = kBounds.at(event);
  const double allocations = GrowthExponent(routers, series.allocations);
  const double looked_at = GrowthExponent(routers, series.looked_at);
  const bool exceeded = allocations > bound.allocations + kTolerance ||
                        looked_at > bound.looked_at + kTolerance;
  std::printf("%-24s", event.c_str());
  for (const double micros : series.microseconds) {
    std::printf(" %9.1f", micros);
  }
  std::printf("  us^%.2f  allocations^%.2f  looked at^%.2f%s\n",
              GrowthExponent(routers, series.microseconds), allocations,
              looked_at, exceeded ? "  EXCEEDED" : "");
  return exceeded;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<size_t> sizes{30, 100, 300, 1'000, 2'000};
  CLI::App app(
      "Measures how the cost of a router's events grows with the fleet: "
      "microseconds of processor time at each size, then exponents.");
  app.add_option("--routers", sizes, "fleet sizes")
      ->check(CLI::Range(2, 20'000));
  CLI11_PARSE(app, argc, argv);
  std::vector<double> routers;
  std::vector<std::string> events;
  std::map<std::string, Series> all;
  for (const size_t size : sizes) {
    routers.push_back(static_cast<double>(size));
    for (const EventCost& cost : MeasureRouterCosts(SizeFor(size))) {
      if (!all.contains(cost.event)) {
        events.push_back(cost.event);
      }
      Series& series = all[cost.event];
      series.allocations.push_back(cost.allocations);
      series.looked_at.push_back(cost.looked_at);
      series.microseconds.push_back(cost.microseconds);
    }
  }
  std::printf("%-24s", "routers");
  for (const size_t size : sizes) {
    std::printf(" %9zu", size);
  }
  std::printf("\n");
  bool exceeded = false;
  for (const std::string& event : events) {
    exceeded = Report(event, routers, all.at(event)) || exceeded;
  }
  return exceeded ? 1 : 0;
}
