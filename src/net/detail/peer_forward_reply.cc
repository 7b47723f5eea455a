#include "peer_forward_reply.h"

#include <boost/asio/post.hpp>
#include <utility>  // move

namespace coppervalve::net {
namespace {

using detail::PeerServerConnection;

// Replies are always posted, even from the strand itself: session callbacks may
// call them, and the session is not reentrant.
template <typename Step>
void PostStep(const std::shared_ptr<ForwardReply::Impl>& impl, Step step) {
  boost::asio::post(impl->executor, [impl, step = std::move(step)]() mutable {
    const auto connection = impl->connection.lock();
    if (connection) {
      step(*connection, impl->stream);
    }
  });
}

}  // namespace

ForwardReply::ForwardReply(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

ForwardReply::~ForwardReply() {
  PostStep(m_impl, [](PeerServerConnection& connection, detail::StreamId id) {
    connection.DropReply(id);
  });
}

void ForwardReply::Head(ReplyHead head) {
  PostStep(m_impl, [head = std::move(head)](PeerServerConnection& connection,
                                            detail::StreamId id) {
    connection.ReplyHeadOf(id, head);
  });
}

void ForwardReply::Body(std::string bytes, std::function<void()> on_writable) {
  PostStep(m_impl,
           [bytes = std::move(bytes), on_writable = std::move(on_writable)](
               PeerServerConnection& connection, detail::StreamId id) mutable {
             connection.ReplyBodyOf(id, std::move(bytes),
                                    std::move(on_writable));
           });
}

void ForwardReply::End() {
  PostStep(m_impl, [](PeerServerConnection& connection, detail::StreamId id) {
    connection.EndReply(id);
  });
}

void ForwardReply::Abort(core::Error error) {
  PostStep(m_impl, [error = std::move(error)](PeerServerConnection& connection,
                                              detail::StreamId id) {
    connection.AbortReply(id, error);
  });
}

void ForwardReply::OnCancelled(std::function<void()> callback) {
  boost::asio::post(m_impl->executor,
                    [impl = m_impl, callback = std::move(callback)]() mutable {
                      const auto connection = impl->connection.lock();
                      if (!connection) {
                        if (callback) {
                          callback();
                        }
                        return;
                      }
                      connection->SetCancelled(impl->stream,
                                               std::move(callback));
                    });
}

}  // namespace coppervalve::net
