#include "coppervalve/net/peer_client.h"

#include <atomic>  // atomic
#include <boost/asio/post.hpp>
#include <cstddef>        // size_t
#include <mutex>          // mutex
#include <unordered_map>  // unordered_map
#include <utility>        // move
#include <vector>         // vector

#include "coppervalve/net/peer_auth.h"
#include "detail/peer_channel.h"
#include "detail/peer_client_connection.h"
#include "detail/peer_fields.h"

namespace coppervalve::net {
namespace {

using detail::PeerCall;
using detail::PeerChannel;

/// One peer address with its counts of pending calls. They are updated in the
/// calling thread, so that a call fails immediately when the queue is full.
struct Peer {
  std::shared_ptr<PeerChannel> channel;
  std::atomic<size_t> messages{0};
  std::atomic<size_t> forwards{0};
};

bool TryIncrement(std::atomic<size_t>& count, size_t limit) {
  if (count.fetch_add(1) < limit) {
    return true;
  }
  count.fetch_sub(1);
  return false;
}

core::Error Failed(core::ErrorId id,
                   const std::string& address,
                   std::string detail) {
  return core::Error{id, address, std::move(detail)};
}

}  // namespace

struct PeerClient::Impl {
  Impl(boost::asio::io_context& context,
       std::string secret,
       const PeerSettings& peer_settings)
      : io(context),
        settings(peer_settings),
        signer(std::make_shared<const PeerSigner>(std::move(secret))) {}

  std::shared_ptr<Peer> PeerAt(const std::string& address) {
    const std::lock_guard lock(mutex);
    std::shared_ptr<Peer>& peer = peers[address];
    if (!peer) {
      peer = std::make_shared<Peer>();
      peer->channel =
          std::make_shared<PeerChannel>(io, address, settings, signer);
    }
    return peer;
  }

  std::vector<std::shared_ptr<Peer>> AllPeers() {
    const std::lock_guard lock(mutex);
    std::vector<std::shared_ptr<Peer>> all;
    all.reserve(peers.size());
    for (const auto& [address, peer] : peers) {
      all.push_back(peer);
    }
    return all;
  }

  boost::asio::io_context& io;
  const PeerSettings settings;
  const std::shared_ptr<const PeerSigner> signer;
  std::atomic<bool> closing{false};
  std::mutex mutex;
  std::unordered_map<std::string, std::shared_ptr<Peer>> peers;
};

struct ForwardHandle::Impl {
  std::shared_ptr<PeerChannel> channel;
  std::shared_ptr<PeerCall> call;
};

ForwardHandle::ForwardHandle(std::shared_ptr<Impl> impl)
    : m_impl(std::move(impl)) {}

void ForwardHandle::Cancel() {
  if (m_impl) {
    m_impl->channel->Cancel(m_impl->call);
  }
}

PeerClient::PeerClient(boost::asio::io_context& io,
                       std::string shared_secret,
                       PeerSettings settings)
    : m_impl(std::make_shared<Impl>(io, std::move(shared_secret), settings)) {}

PeerClient::~PeerClient() {
  for (const auto& peer : m_impl->AllPeers()) {
    peer->channel->Abort();
  }
}

// Uses one stream per message instead of one long stream for all: each message
// gets its own confirmation or failure, a lost one does not affect the others,
// and HPACK reduces the repeated header fields to a few bytes each. Messages
// may therefore arrive out of order, which their serials and ids allow for.
void PeerClient::SendMessage(
    const std::string& address,
    const v1::PeerMessage& message,
    const std::function<void(core::Error)>& on_failed) {
  const std::shared_ptr<Peer> peer = m_impl->PeerAt(address);
  auto call = std::make_shared<PeerCall>();
  call->path = detail::kMessagePath;
  call->body = message.SerializeAsString();
  call->callbacks.on_end = [on_failed](const ForwardOutcome& outcome) {
    if (!outcome.complete && on_failed) {
      on_failed(outcome.error);
    }
  };
  if (call->body.size() > m_impl->settings.max_message_bytes) {
    peer->channel->Reject(
        call, Failed(core::ErrorId::kBodyTooLarge, address, "peer message"));
    return;
  }
  if (m_impl->closing ||
      !TryIncrement(peer->messages, m_impl->settings.max_queued_messages)) {
    peer->channel->Reject(
        call, Failed(core::ErrorId::kPeerUnreachable, address,
                     m_impl->closing ? "closing" : "message queue full"));
    return;
  }
  call->callbacks.on_end = [peer, inner = std::move(call->callbacks.on_end)](
                               const ForwardOutcome& outcome) {
    peer->messages.fetch_sub(1);
    inner(outcome);
  };
  peer->channel->Start(std::move(call));
}

ForwardHandle PeerClient::StartForward(const std::string& address,
                                       const ForwardHead& head,
                                       std::string body,
                                       ForwardCallbacks callbacks) {
  const std::shared_ptr<Peer> peer = m_impl->PeerAt(address);
  auto call = std::make_shared<PeerCall>();
  call->path = detail::kForwardPath;
  call->fields = detail::EncodeForward(head);
  call->body = std::move(body);
  call->callbacks = std::move(callbacks);
  ForwardHandle handle(std::make_shared<ForwardHandle::Impl>(
      ForwardHandle::Impl{peer->channel, call}));
  if (call->body.size() > m_impl->settings.max_forward_body_bytes) {
    peer->channel->Reject(
        call, Failed(core::ErrorId::kBodyTooLarge, address, "forwarded body"));
    return handle;
  }
  if (m_impl->closing) {
    peer->channel->Reject(
        call, Failed(core::ErrorId::kPeerUnreachable, address, "closing"));
    return handle;
  }
  if (!TryIncrement(peer->forwards, m_impl->settings.max_forwards)) {
    peer->channel->Reject(
        call, Failed(core::ErrorId::kQueueFull, address, "too many forwards"));
    return handle;
  }
  call->callbacks.on_end = [peer, inner = std::move(call->callbacks.on_end)](
                               ForwardOutcome outcome) {
    peer->forwards.fetch_sub(1);
    if (inner) {
      inner(std::move(outcome));
    }
  };
  peer->channel->Start(std::move(call));
  return handle;
}

void PeerClient::Close(std::function<void()> on_closed) {
  m_impl->closing = true;
  const std::vector<std::shared_ptr<Peer>> peers = m_impl->AllPeers();
  if (peers.empty()) {
    boost::asio::post(m_impl->io, std::move(on_closed));
    return;
  }
  const auto remaining = std::make_shared<std::atomic<size_t>>(peers.size());
  for (const auto& peer : peers) {
    peer->channel->Close([remaining, on_closed] {
      if (remaining->fetch_sub(1) == 1) {
        on_closed();
      }
    });
  }
}

}  // namespace coppervalve::net
