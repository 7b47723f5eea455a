#ifndef COPPERVALVE_GATEWAY_FLEET_VIEW_CLIENT_H_
#define COPPERVALVE_GATEWAY_FLEET_VIEW_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/units.h"
#include "coppervalve/entry/fleet_view.h"
#include "coppervalve/load.pb.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::gateway {

v1::FleetViewAnswer ToFleetViewAnswer(const v1::FleetViewAsk& ask,
                                      const entry::FleetView& view);
entry::FleetView ToFleetView(const v1::FleetViewAnswer& answer);

/// @brief Asks active routers for their view of the fleet, by datagram.
///
/// A router that asks needs no heartbeats of others, so the load on the store
/// and on small links does not grow with the square of the fleet.
class FleetViewClient {
 public:
  struct Hooks {
    /// Addresses of the active routers.
    std::function<std::vector<std::string>()> peers;
    std::function<void(const std::string& address, const v1::FleetViewAsk&)>
        send;
    std::function<void(const entry::FleetView&)> on_view;
  };

  FleetViewClient(boost::asio::io_context& io,
                  std::string reply_address,
                  Hooks hooks,
                  routing::RandomSource random);

  /// @param epoch of this router; replies to earlier epochs are ignored
  void SetEpoch(uint64_t epoch) { m_epoch = epoch; }
  /// @brief Starts or stops asking periodically.
  void SetActive(bool active);
  void OnAnswer(const v1::FleetViewAnswer& answer);
  /// @return time since the last view; the maximum if there was none
  core::Duration Age(core::TimePoint now) const;
  /// @return the last view
  const std::optional<entry::FleetView>& view() const { return m_view; }

 private:
  void Ask();
  void ScheduleAsk(core::Duration delay);

  std::string m_reply_address;
  Hooks m_hooks;
  routing::RandomSource m_random;
  boost::asio::steady_timer m_timer;
  uint64_t m_epoch = 0;
  uint64_t m_last_id;
  bool m_active = false;
  bool m_answered = true;  ///< the last question was answered
  std::optional<entry::FleetView> m_view;
  core::TimePoint m_view_received_at{};
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_FLEET_VIEW_CLIENT_H_
