#include "bench/budget/report.h"

#include <cstdio>  // printf, snprintf

namespace coppervalve::bench {

namespace {

bool Holds(const Bound& bound, double value) {
  return bound.kind == Bound::Kind::kAtMost ? value <= bound.value
                                            : value >= bound.value;
}

std::string Text(const std::optional<Bound>& bound) {
  if (!bound.has_value()) {
    return "-";
  }
  constexpr size_t kLongest = 64;
  char text[kLongest];
  std::snprintf(text, sizeof(text), "%.3f", bound->value);
  return text;
}

}  // namespace

void Report::Print(const std::string& name,
                   double value,
                   const std::string& unit,
                   const std::optional<Bound>& bound) {
  const bool ok = !bound.has_value() || Holds(*bound, value);
  m_exceeded = m_exceeded || !ok;
  std::printf("figure %s %.3f %s bound %s %s\n", name.c_str(), value,
              unit.c_str(), Text(bound).c_str(), ok ? "ok" : "exceeded");
}

}  // namespace coppervalve::bench
