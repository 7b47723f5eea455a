#ifndef COPPERVALVE_SRC_NET_FORWARD_WRITER_H_
#define COPPERVALVE_SRC_NET_FORWARD_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <functional>  // function
#include <memory>      // shared_ptr

#include "coppervalve/net/answer.h"
#include "coppervalve/net/peer_server.h"

namespace coppervalve::net {

/// @brief Writes an answer to the peer that forwarded the request. Must be
/// called on the thread of `context`, where it runs.
/// @param on_ended called once; `cancelled` is true when the peer cancelled
void WriteForwardReply(boost::asio::io_context& context,
                       std::shared_ptr<Answer> answer,
                       std::shared_ptr<ForwardReply> reply,
                       std::function<void(bool cancelled)> on_ended);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_FORWARD_WRITER_H_
