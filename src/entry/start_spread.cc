#include "coppervalve/entry/start_spread.h"

#include <algorithm>  // clamp

#include "coppervalve/entry/read_plan.h"

namespace coppervalve::entry {

namespace {

// The heartbeats are listed once, and then followed until the own one is read
// back, which takes longer while claims are renewed after a loss.
constexpr size_t kReadsOfHeartbeats = 4;

// Part of the fleet that starts, by the heartbeats that are missing.
double StartingShare(const v1::FleetFacts& facts, double heartbeats) {
  const double expected = facts.heartbeats_per_second();
  return expected <= 0 ? 1 : std::clamp(1 - heartbeats / expected, 0.0, 1.0);
}

}  // namespace

bool StartsAtOnce(const v1::FleetFacts& facts, double capacity) {
  return facts.routers() == 0 || capacity >= facts.least_capacity();
}

StartSpread SpreadOfStart(const v1::FleetFacts& facts,
                          const StartConditions& conditions) {
  if (StartsAtOnce(facts, conditions.capacity)) {
    return {};
  }
  const double starting =
      StartingShare(facts, conditions.heartbeats_per_second);
  const ReadLoad load{static_cast<size_t>(facts.routers() * starting),
                      conditions.store_bytes_per_second};
  StartSpread spread;
  spread.configuration = ReadInterval(load, facts.configuration_bytes());
  spread.heartbeats =
      spread.configuration +
      ReadInterval(load, facts.heartbeat_bytes() * kReadsOfHeartbeats);
  return spread;
}

}  // namespace coppervalve::entry
