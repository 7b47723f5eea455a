#ifndef COPPERVALVE_NET_DETAIL_PEER_FORWARD_REPLY_H_
#define COPPERVALVE_NET_DETAIL_PEER_FORWARD_REPLY_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>  // weak_ptr

#include "coppervalve/net/peer_server.h"
#include "peer_server_connection.h"

namespace coppervalve::net {

/// @brief Identifies the stream of a reply without keeping its connection
/// alive.
struct ForwardReply::Impl {
  boost::asio::any_io_executor executor;
  std::weak_ptr<detail::PeerServerConnection> connection;
  detail::StreamId stream = 0;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_DETAIL_PEER_FORWARD_REPLY_H_
