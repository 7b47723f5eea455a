#include "bench/routing/figure.h"

#include <algorithm>  // min, sort
#include <cstdio>     // printf

namespace coppervalve::bench {

void Figures::Report(const std::string& name,
                     double value,
                     const std::string& unit,
                     BoundKind kind,
                     double bound,
                     double baseline) {
  const bool ok = kind == BoundKind::kAtMost ? value <= bound : value >= bound;
  m_exceeded = m_exceeded || !ok;
  Print(name, value, unit, bound, ok);
  Print(name + "_baseline", baseline, unit, std::nullopt, true);
}

void Figures::Print(const std::string& name,
                    double value,
                    const std::string& unit,
                    std::optional<double> bound,
                    bool ok) {
  std::printf("figure %s %.3f %s bound ", name.c_str(), value, unit.c_str());
  if (bound) {
    std::printf("%.3f", *bound);
  } else {
    std::printf("-");
  }
  std::printf(" %s\n", ok ? "ok" : "exceeded");
}

double Percentile(std::vector<int64_t> samples, double share) {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(samples.size()));
  return static_cast<double>(samples[std::min(rank, samples.size() - 1)]);
}

}  // namespace coppervalve::bench
