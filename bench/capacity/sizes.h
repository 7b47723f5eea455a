#ifndef BENCH_CAPACITY_SIZES_H_
#define BENCH_CAPACITY_SIZES_H_

#include <array>    // array
#include <cstddef>  // size_t
#include <string>   // string

namespace coppervalve::bench {

/// @brief Number of objects that one router core knows.
struct FleetSizes {
  size_t members = 7;
  size_t budgets = 20;
  size_t accounts = 10;
  size_t rules = 10;
  size_t upstreams = 15;
  size_t models = 2;
  /// Routers that hold tokens of each budget.
  size_t holders = 0;
};

/// @brief A typical site, larger than either of the two existing ones.
inline constexpr FleetSizes kTypicalSite{};

/// @brief The design size. An address list names eight routers, so up to
/// eight hold a budget.
inline constexpr FleetSizes kDesign{840, 73'000, 41'000, 10'000, 10'000, 38, 8};

inline constexpr size_t kAddressesPerAccount = 8;

inline constexpr std::array<size_t, 4> kMemberSteps{7, 50, 200, 840};

/// @brief Requests per second of the entire fleet at its peak.
inline constexpr double kDesignRequestsPerSecond = 64'000;
inline constexpr double kDesignTokensPerSecond = 25e6;
inline constexpr double kDesignConfigChangesPerDay = 10'000;
inline constexpr double kSecondsPerDay = 86'400;

/// @brief Required limits on a node's control cost.
inline constexpr double kControlCoreShare = 0.023;
inline constexpr double kControlBytesPerSecond = 3'000;
inline constexpr double kControlMemoryBytes = 256.0 * (1 << 20);

std::string NumberedId(const std::string& kind, size_t number);

}  // namespace coppervalve::bench

#endif  // BENCH_CAPACITY_SIZES_H_
