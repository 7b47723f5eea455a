#ifndef COPPERVALVE_ENTRY_BRITTLENESS_H_
#define COPPERVALVE_ENTRY_BRITTLENESS_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"
#include "coppervalve/entry/advertised_limit.h"

namespace coppervalve::entry {

/// @brief What an upstream last stated of itself: that it fails if it has to
/// reject more than a number of requests per second for lack of room. Routers
/// keep its queue empty then, and pause after a rejection.
class Brittleness {
 public:
  /// @brief The upstream responded.
  /// @param rejections per second, from all routers together; none if it stated
  /// nothing
  /// @return whether that is new
  bool OnAnswer(std::optional<double> rejections, core::TimePoint now);
  /// @brief It rejected a request of this router for lack of room.
  void OnRejected(core::TimePoint now) { m_rejected_at = now; }

  bool IsBrittle(core::TimePoint now) const;
  /// @return the earliest time of this router's next request
  core::TimePoint NextSend(const SenderPosition& position,
                           core::TimePoint now) const;

 private:
  std::optional<double> m_rejections;
  core::TimePoint m_stated_at{};
  std::optional<core::TimePoint> m_rejected_at;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_BRITTLENESS_H_
