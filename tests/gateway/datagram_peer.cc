#include "datagram_peer.h"

#include <boost/asio/buffer.hpp>      // buffer
#include <boost/asio/ip/address.hpp>  // make_address
#include <utility>                    // move

#include "coppervalve/net/endpoint.h"
#include "gateway_fixture.h"

namespace coppervalve::gateway::testing {

using boost::asio::ip::udp;

DatagramPeer::DatagramPeer(boost::asio::io_context& io, OnDatagram on_datagram)
    : m_address(FreeAddress()),
      m_on_datagram(std::move(on_datagram)),
      m_socket(io, udp::v4()) {
  const auto endpoint = net::ReadEndpoint(m_address);
  m_socket.bind({boost::asio::ip::make_address(endpoint->ip), endpoint->port});
  Receive();
}

void DatagramPeer::Reply(const v1::PeerDatagram& datagram) {
  m_socket.send_to(boost::asio::buffer(datagram.SerializeAsString()), m_sender);
}

void DatagramPeer::Receive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const boost::system::error_code& code, size_t size) {
        if (code) {
          return;
        }
        v1::PeerDatagram received;
        received.ParseFromArray(m_buffer.data(), static_cast<int>(size));
        m_on_datagram(received);
        Receive();
      });
}

}  // namespace coppervalve::gateway::testing
