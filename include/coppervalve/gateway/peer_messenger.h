#ifndef COPPERVALVE_GATEWAY_PEER_MESSENGER_H_
#define COPPERVALVE_GATEWAY_PEER_MESSENGER_H_

#include <array>  // array
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/result.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::gateway {

/// @brief Exchanges datagrams with other routers: load reports, and requests
/// for tokens and placements with their replies. Delivery is not guaranteed,
/// and nothing depends on it.
class PeerMessenger {
 public:
  struct Hooks {
    /// Addresses of the other routers, "ip:port".
    std::function<std::vector<std::string>()> peers;
    /// Fills in the current load.
    std::function<void(v1::LoadReport&)> compose;
    std::function<void(const v1::LoadReport&)> on_report;
    std::function<void(const v1::TokenAsk&)> on_token_request;
    std::function<void(const v1::TokenGift&)> on_gift;
    std::function<void(const v1::PlaceAsk&)> on_placement_request;
    std::function<void(const v1::PlaceAnswer&)> on_place_answer;
    std::function<void(const v1::FleetViewAsk&)> on_view_request;
    std::function<void(const v1::FleetViewAnswer&)> on_view;
  };

  PeerMessenger(boost::asio::io_context& io, std::string router, Hooks hooks);
  /// @brief Binds the port exclusively: no other process of the VM can have it
  /// while this object lives.
  /// @param address "ip:port" to receive on
  /// @return kSettingBadValue if the port can't ever be bound,
  /// kAddressUnavailable if not now; Bind() may be called again then
  core::Status Bind(const std::string& address);
  /// @brief Starts receiving and reporting, once Bind() has succeeded.
  void Start(uint64_t epoch);
  /// @param address "ip:port" of another router
  void Send(const std::string& address, const v1::PeerDatagram& datagram);

 private:
  void Receive();
  void HandleDatagram(size_t size);
  void HandleView(const v1::PeerDatagram& datagram);
  void SendReport();
  void SendTo(const std::string& address, const std::string& bytes);

  boost::asio::ip::udp::socket m_socket;
  boost::asio::steady_timer m_timer;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, 65'536> m_buffer;
  Hooks m_hooks;
  v1::LoadReport m_report;
  std::string m_last_loads;
  uint64_t m_round = 0;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_PEER_MESSENGER_H_
