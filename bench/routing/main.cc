#include "bench/routing/figure.h"
#include "bench/routing/scenarios.h"

int main() {
  using namespace coppervalve::bench;
  Figures figures;
  MeasureOverload(figures);
  MeasureAccountFairness(figures);
  MeasureImbalance(figures);
  MeasurePrefixHits(figures);
  MeasureDecisionCost(figures);
  MeasureOutage(figures);
  MeasureLeaving(figures);
  MeasureRateLimiter(figures);
  return figures.exceeded() ? 1 : 0;
}
