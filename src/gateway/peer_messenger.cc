#include "coppervalve/gateway/peer_messenger.h"

#include <algorithm>                  // min
#include <boost/asio/buffer.hpp>      // buffer
#include <boost/asio/ip/address.hpp>  // make_address
#include <chrono>                     // milliseconds
#include <utility>                    // move

#include "coppervalve/net/endpoint.h"
#include "coppervalve/net/listen_error.h"

namespace coppervalve::gateway {

namespace {

using boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds kReportInterval{50};
// Each report is sent to at most this many peers, in rotation. The traffic that
// a router sends and receives thus does not grow with the fleet; only the age
// of its load information does.
constexpr size_t kMaxPeersPerReport = 8;
// An unchanged report is repeated only every so many rounds, to show peers that
// this router is still running.
constexpr uint64_t kUnchangedReportRounds = 6;

}  // namespace

PeerMessenger::PeerMessenger(boost::asio::io_context& io,
                             std::string router,
                             Hooks hooks)
    : m_socket(io), m_timer(io), m_buffer{}, m_hooks(std::move(hooks)) {
  m_report.set_router(std::move(router));
}

core::Status PeerMessenger::Bind(const std::string& address) {
  const auto endpoint = net::ReadEndpoint(address);
  ErrorCode code;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), code);
  if (!code) {
    m_socket.open(udp::v4(), code);
  }
  if (!code) {
    m_socket.bind(udp::endpoint(ip, endpoint->port), code);
  }
  if (code) {
    ErrorCode ignored;
    m_socket.close(ignored);
    return net::ListenError(address, code);
  }
  m_socket.non_blocking(true, code);
  return core::Ok();
}

void PeerMessenger::Start(uint64_t epoch) {
  m_report.set_epoch(epoch);
  Receive();
  SendReport();
}

void PeerMessenger::Receive() {
  m_socket.async_receive_from(
      boost::asio::buffer(m_buffer), m_sender,
      [this](const ErrorCode& code, size_t size) {
        if (code == boost::asio::error::operation_aborted) {
          return;
        }
        if (!code) {
          HandleDatagram(size);
        }
        Receive();
      });
}

void PeerMessenger::HandleDatagram(size_t size) {
  v1::PeerDatagram datagram;
  if (!datagram.ParseFromArray(m_buffer.data(), static_cast<int>(size))) {
    return;
  }
  if (datagram.has_load() && datagram.load().router() != m_report.router()) {
    m_hooks.on_report(datagram.load());
  }
  if (datagram.has_ask() && m_hooks.on_token_request) {
    m_hooks.on_token_request(datagram.ask());
  }
  if (datagram.has_gift() && m_hooks.on_gift) {
    m_hooks.on_gift(datagram.gift());
  }
  if (datagram.has_place_ask() && m_hooks.on_placement_request) {
    m_hooks.on_placement_request(datagram.place_ask());
  }
  if (datagram.has_place_answer() && m_hooks.on_place_answer) {
    m_hooks.on_place_answer(datagram.place_answer());
  }
  HandleView(datagram);
}

void PeerMessenger::HandleView(const v1::PeerDatagram& datagram) {
  if (datagram.has_view_ask() && m_hooks.on_view_request) {
    m_hooks.on_view_request(datagram.view_ask());
  }
  if (datagram.has_view_answer() && m_hooks.on_view) {
    m_hooks.on_view(datagram.view_answer());
  }
}

void PeerMessenger::Send(const std::string& address,
                         const v1::PeerDatagram& datagram) {
  if (m_socket.is_open()) {
    SendTo(address, datagram.SerializeAsString());
  }
}

void PeerMessenger::SendReport() {
  ++m_round;
  m_report.clear_loads();
  m_report.clear_limits();
  m_hooks.compose(m_report);
  m_report.clear_sequence();
  const std::string loads = m_report.SerializeAsString();
  if (loads != m_last_loads || m_round % kUnchangedReportRounds == 0) {
    m_last_loads = loads;
    m_report.set_sequence(m_round);
    v1::PeerDatagram datagram;
    *datagram.mutable_load() = m_report;
    const std::string bytes = datagram.SerializeAsString();
    const std::vector<std::string> peers = m_hooks.peers();
    const size_t count = std::min(peers.size(), kMaxPeersPerReport);
    for (size_t i = 0; i < count; ++i) {
      SendTo(peers[(m_round * kMaxPeersPerReport + i) % peers.size()], bytes);
    }
  }
  m_timer.expires_after(kReportInterval);
  m_timer.async_wait([this](const ErrorCode& code) {
    if (!code) {
      SendReport();
    }
  });
}

void PeerMessenger::SendTo(const std::string& address,
                           const std::string& bytes) {
  const auto endpoint = net::ReadEndpoint(address);
  ErrorCode code;
  const auto ip = boost::asio::ip::make_address(
      endpoint ? endpoint->ip : std::string(), code);
  if (!code) {
    m_socket.send_to(boost::asio::buffer(bytes),
                     udp::endpoint(ip, endpoint->port), 0, code);
  }
}

}  // namespace coppervalve::gateway
