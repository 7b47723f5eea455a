#ifndef COPPERVALVE_NET_DETAIL_PEER_CHANNEL_H_
#define COPPERVALVE_NET_DETAIL_PEER_CHANNEL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>      // milliseconds, steady_clock
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/error.h"
#include "coppervalve/net/peer_auth.h"
#include "coppervalve/net/peer_types.h"
#include "peer_client_connection.h"

namespace coppervalve::net::detail {

/// @brief Manages the connections to one peer address: the current one, opened
/// on demand, and earlier ones that only finish their calls. The public
/// functions are thread-safe; the rest runs on the channel's strand.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  PeerChannel(boost::asio::io_context& io,
              std::string address,
              const PeerSettings& settings,
              std::shared_ptr<const PeerSigner> signer);

  void Start(std::shared_ptr<PeerCall> call);
  void Cancel(std::shared_ptr<PeerCall> call);
  /// @brief Reports a call as failed without trying it.
  void Reject(std::shared_ptr<PeerCall> call, core::Error error);
  /// @brief Finishes the calls, then calls `on_closed`. Start() must not
  /// follow.
  void Close(std::function<void()> on_closed);
  /// @brief Fails all calls immediately.
  void Abort();

 private:
  using Clock = std::chrono::steady_clock;

  void OnStart(const std::shared_ptr<PeerCall>& call);
  void Dispatch(const std::shared_ptr<PeerCall>& call);
  void OnCancel(PeerCall& call);
  void Connect();
  void OnConnected(boost::asio::ip::tcp::socket socket);
  void OnReady();
  void OnDraining();
  void OnConnectionClosed(const std::shared_ptr<PeerClientConnection>& closed,
                          const core::Error& error);
  void OnConnectFailed(const std::string& reason);
  void DrainIfClosing();
  void ReportClosed();
  core::Error Unreachable(std::string detail) const;

  const std::string m_address;
  const PeerSettings m_settings;
  const std::shared_ptr<const PeerSigner> m_signer;
  boost::asio::any_io_executor m_strand;
  boost::asio::steady_timer m_connect_timer;
  std::shared_ptr<boost::asio::ip::tcp::socket> m_connecting;
  /// The newest connection; calls wait until it is ready.
  std::shared_ptr<PeerClientConnection> m_current;
  std::vector<std::shared_ptr<PeerClientConnection>> m_connections;
  std::vector<std::shared_ptr<PeerCall>> m_waiting;
  std::vector<std::function<void()>> m_on_closed;
  Clock::time_point m_not_before;
  std::chrono::milliseconds m_backoff{0};
  bool m_ready = false;
  bool m_closing = false;
};

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_CHANNEL_H_
