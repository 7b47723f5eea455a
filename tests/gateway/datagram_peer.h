#ifndef COPPERVALVE_TESTS_GATEWAY_DATAGRAM_PEER_H_
#define COPPERVALVE_TESTS_GATEWAY_DATAGRAM_PEER_H_

#include <array>  // array
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>  // function
#include <string>      // string

#include "coppervalve/load.pb.h"

namespace coppervalve::gateway::testing {

/// @brief The datagram port of another router, played by the test.
class DatagramPeer {
 public:
  using OnDatagram = std::function<void(const v1::PeerDatagram& received)>;

  DatagramPeer(boost::asio::io_context& io, OnDatagram on_datagram);

  const std::string& address() const { return m_address; }
  /// @brief Sends to the router whose datagram arrived last.
  void Reply(const v1::PeerDatagram& datagram);

 private:
  void Receive();

  std::string m_address;
  OnDatagram m_on_datagram;
  boost::asio::ip::udp::socket m_socket;
  boost::asio::ip::udp::endpoint m_sender;
  std::array<char, 65'536> m_buffer{};
};

}  // namespace coppervalve::gateway::testing

#endif  // COPPERVALVE_TESTS_GATEWAY_DATAGRAM_PEER_H_
