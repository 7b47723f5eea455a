#ifndef BENCH_CAPACITY_FIGURE_H_
#define BENCH_CAPACITY_FIGURE_H_

#include <optional>  // optional
#include <string>    // string

namespace coppervalve::bench {

/// @brief Prints figures and records whether one exceeded its bound.
///
/// Only counts, bytes and ratios of counts have bounds, since they are the same
/// on any machine. Bounds guard against regressions; a bound above the required
/// control limit is a cost that docs/CAPACITY.md lists as not met.
class Figures {
 public:
  void CheckAtMost(const std::string& name,
                   double value,
                   const std::string& unit,
                   double bound);
  /// @brief Prints a figure that has no bound, since it depends on the machine
  /// or follows from others.
  void PrintUnbounded(const std::string& name,
                      double value,
                      const std::string& unit);
  bool exceeded() const { return m_exceeded; }

 private:
  static void Print(const std::string& name,
                    double value,
                    const std::string& unit,
                    std::optional<double> bound,
                    bool ok);

  bool m_exceeded = false;
};

}  // namespace coppervalve::bench

#endif  // BENCH_CAPACITY_FIGURE_H_
