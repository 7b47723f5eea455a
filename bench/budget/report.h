#ifndef COPPERVALVE_BENCH_BUDGET_REPORT_H_
#define COPPERVALVE_BENCH_BUDGET_REPORT_H_

#include <optional>  // optional
#include <string>    // string

namespace coppervalve::bench {

/// @brief The allowed values of a figure.
struct Bound {
  enum class Kind { kAtMost, kAtLeast };

  Kind kind = Kind::kAtMost;
  double value = 0;
};

/// @brief Prints figures and records whether one exceeded its bound.
class Report {
 public:
  /// @param bound if empty, the figure is only printed for comparison
  void Print(const std::string& name,
             double value,
             const std::string& unit,
             const std::optional<Bound>& bound = std::nullopt);
  bool exceeded() const { return m_exceeded; }

 private:
  bool m_exceeded = false;
};

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_BUDGET_REPORT_H_
