#ifndef COPPERVALVE_BENCH_ROUTING_FIGURE_H_
#define COPPERVALVE_BENCH_ROUTING_FIGURE_H_

#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

namespace coppervalve::bench {

/// @brief Whether a bound is an upper or a lower one.
enum class BoundKind { kAtMost, kAtLeast };

/// @brief Prints figures and records whether any violated its bound.
class Figures {
 public:
  /// @brief Prints one figure with its bound and the baseline's figure.
  void Report(const std::string& name,
              double value,
              const std::string& unit,
              BoundKind kind,
              double bound,
              double baseline);
  bool exceeded() const { return m_exceeded; }

 private:
  static void Print(const std::string& name,
                    double value,
                    const std::string& unit,
                    std::optional<double> bound,
                    bool ok);

  bool m_exceeded = false;
};

/// @brief Returns the value that `share` of the samples do not exceed; 0
/// without samples.
double Percentile(std::vector<int64_t> samples, double share);

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_ROUTING_FIGURE_H_
