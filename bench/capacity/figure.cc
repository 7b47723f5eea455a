#include "bench/capacity/figure.h"

#include <cstdio>  // fflush, printf

namespace coppervalve::bench {

void Figures::CheckAtMost(const std::string& name,
                          double value,
                          const std::string& unit,
                          double bound) {
  const bool ok = value <= bound;
  m_exceeded = m_exceeded || !ok;
  Print(name, value, unit, bound, ok);
}

void Figures::PrintUnbounded(const std::string& name,
                             double value,
                             const std::string& unit) {
  Print(name, value, unit, std::nullopt, true);
}

void Figures::Print(const std::string& name,
                    double value,
                    const std::string& unit,
                    std::optional<double> bound,
                    bool ok) {
  std::printf("figure %s %.3f %s bound ", name.c_str(), value, unit.c_str());
  if (bound.has_value()) {
    std::printf("%.3f", *bound);
  } else {
    std::printf("-");
  }
  std::printf(" %s\n", ok ? "ok" : "exceeded");
  std::fflush(stdout);
}

}  // namespace coppervalve::bench
