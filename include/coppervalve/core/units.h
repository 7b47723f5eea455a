#ifndef COPPERVALVE_CORE_UNITS_H_
#define COPPERVALVE_CORE_UNITS_H_

#include <chrono>   // duration, time_point
#include <compare>  // operator<=>
#include <cstdint>  // int64_t

namespace coppervalve::core {

/// @brief A strongly typed amount; amounts of different units do not mix.
/// @tparam Tag an empty struct that names the unit
template <typename Tag>
class Amount {
 public:
  constexpr Amount() = default;
  explicit constexpr Amount(int64_t count) : m_count(count) {}

  constexpr int64_t value() const { return m_count; }
  friend constexpr auto operator<=>(Amount, Amount) = default;
  friend constexpr Amount operator+(Amount a, Amount b) {
    return Amount(a.m_count + b.m_count);
  }
  friend constexpr Amount operator-(Amount a, Amount b) {
    return Amount(a.m_count - b.m_count);
  }
  constexpr Amount& operator+=(Amount other) { return *this = *this + other; }
  constexpr Amount& operator-=(Amount other) { return *this = *this - other; }

 private:
  int64_t m_count = 0;
};

/// @brief Budget tokens, the unit in which accounts prepay and requests are
/// billed.
using Tokens = Amount<struct TokensTag>;
/// @brief Bytes of a body or message.
using Bytes = Amount<struct BytesTag>;

/// @brief Microseconds, the time resolution of all decisions.
using Duration = std::chrono::microseconds;

/// @brief The clock used for all decisions. It is monotonic and includes time
/// in suspend (CLOCK_BOOTTIME in the daemon, simulated in tests). The decision
/// libraries never read it; callers pass the current time.
struct DecisionClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<DecisionClock, duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = DecisionClock::time_point;

}  // namespace coppervalve::core

#endif  // COPPERVALVE_CORE_UNITS_H_
