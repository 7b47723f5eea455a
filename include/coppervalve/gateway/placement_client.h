#ifndef COPPERVALVE_GATEWAY_PLACEMENT_CLIENT_H_
#define COPPERVALVE_GATEWAY_PLACEMENT_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <string>         // string
#include <unordered_map>  // unordered_map

#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/placement_search.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::gateway {

/// @brief Requests placements from routers that follow the upstream table.
///
/// A standby router of a large fleet does not follow the table, and what it
/// read earlier may name upstreams that have left. A reply is as current as the
/// table of the router that sends it, and states whether that is outdated.
class PlacementClient {
 public:
  struct Hooks {
    /// Routers that follow the table, without this one.
    std::function<entry::PlacementPeers()> peers;
    /// Whether the durable store answers this router.
    std::function<bool()> reaches_store;
    std::function<void(const std::string& address, const v1::PlaceAsk&)> send;
  };
  /// @param placement has no upstream if no router chose one; from an outdated
  /// table only if no router asked has a current one
  using PlacementCallback =
      std::function<void(const entry::Placement& placement)>;

  PlacementClient(boost::asio::io_context& io,
                  std::string reply_address,
                  Hooks hooks,
                  routing::RandomSource random);
  void SetEpoch(uint64_t epoch) { m_epoch = epoch; }

  /// @param on_placement called exactly once, never from within this call
  void RequestPlacement(const entry::PlacementQuery& query,
                        PlacementCallback on_placement);
  void OnAnswer(const v1::PlaceAnswer& answer);

 private:
  struct Pending {
    v1::PlaceAsk ask;
    entry::PlacementSearch search;
    PlacementCallback on_placement;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  void SendToNextPeer(uint64_t id);
  /// @param message its number among those of the request
  void OnReply(uint64_t id, size_t message, const entry::Placement& placement);
  void Finish(uint64_t id);

  boost::asio::io_context& m_io;
  std::string m_reply_address;
  Hooks m_hooks;
  routing::RandomSource m_random;
  uint64_t m_epoch = 0;
  uint64_t m_last_id;
  entry::OutdatedPeers m_outdated_peers;
  std::unordered_map<uint64_t, Pending> m_pending;
};

/// @brief Conversions between a query and its message.
v1::PlaceAsk ToPlaceAsk(const entry::PlacementQuery& query);
entry::PlacementQuery ToPlacementQuery(const v1::PlaceAsk& ask);
/// @brief Builds the reply to a request.
v1::PlaceAnswer ToPlaceAnswer(const v1::PlaceAsk& ask,
                              const entry::Placement& placement);

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_PLACEMENT_CLIENT_H_
