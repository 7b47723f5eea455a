#ifndef BENCH_CAPACITY_FIGURE_H_
#define BENCH_CAPACITY_FIGURE_H_

#include <optional>  // optional
#include <string>    // string

namespace coppervalve::bench {

/// @brief Prints figures and remembers whether one broke its bound.
///
/// Bounds are put on counts, bytes and ratios of counts only: they are the same
/// on any machine. They guard against regressions; a bound above the letter's
/// control limit is a cost that docs/CAPACITY.md lists as not met.
class Figures {
 public:
  void AtMost(const std::string& name,
              double value,
              const std::string& unit,
              double bound);
  /// @brief Information that depends on the machine, or follows from others.
  void Inform(const std::string& name, double value, const std::string& unit);
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
