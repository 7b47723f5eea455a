#ifndef COPPERVALVE_NET_PEER_TYPES_H_
#define COPPERVALVE_NET_PEER_TYPES_H_

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint32_t
#include <functional>  // function
#include <string>      // string
#include <utility>     // pair
#include <vector>      // vector

#include "coppervalve/core/error.h"
#include "coppervalve/core/ids.h"

namespace coppervalve::net {

/// @brief Header fields of a caller's request or answer, names lowered.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// @brief A caller's request as one router hands it to another.
struct ForwardHead {
  core::AccountId account;  ///< authenticated by the sending router
  /// The incarnation that is meant. A receiver of another one must refuse: a
  /// stale or replayed forward never runs at the wrong process.
  core::Incarnation to_incarnation;
  std::string method;           ///< of the caller's request
  std::string path;             ///< of the caller's request, with its query
  std::string idempotency_key;  ///< empty when not given
  HeaderList headers;
};

/// @brief The first part of the answer to a forward.
struct ReplyHead {
  uint32_t status = 200;
  HeaderList headers;
};

/// @brief How a forward ended at the side that started it.
struct ForwardOutcome {
  /// The peer ended the answer properly and all of it was handed over.
  bool whole = false;
  /// Bytes of the request reached the kernel, so the peer may have run it.
  /// False also when the peer proved that it did not take the request
  /// (REFUSED_STREAM, GOAWAY below it, a refusal of the link itself).
  bool sent = false;
  /// Meaningful only when not whole.
  core::Error error{core::ErrorId::kOutcomeUnknown, {}, {}};
};

/// @brief What the starter of a forward is told, in order, never concurrently:
/// on_head at most once, on_body any number of times, on_end exactly once.
struct ForwardCallbacks {
  std::function<void(ReplyHead head)> on_head;
  /// `consumed` is to be called, from any thread, when the bytes were relayed;
  /// until then they fill the stream's window and the peer stops sending.
  std::function<void(std::string bytes, std::function<void()> consumed)>
      on_body;
  std::function<void(ForwardOutcome outcome)> on_end;
};

/// @brief Limits and deadlines of the links; the defaults suit one region.
struct PeerSettings {
  /// Silence after which a PING is sent.
  std::chrono::milliseconds ping_interval{2000};
  /// Silence after which the connection is closed; above ping_interval.
  std::chrono::milliseconds silence_deadline{3000};
  std::chrono::milliseconds connect_timeout{1000};
  /// Pause after a failed connect, doubled up to the maximum.
  std::chrono::milliseconds backoff_min{50};
  std::chrono::milliseconds backoff_max{1000};
  /// Between the notice of a shutdown and the final GOAWAY.
  std::chrono::milliseconds goaway_grace{200};
  size_t max_message_bytes = 1U << 20U;
  size_t max_forward_body_bytes = 16U << 20U;
  size_t max_header_bytes = 32U << 10U;
  /// Unanswered messages per peer; further ones fail at once.
  size_t max_queued_messages = 256;
  /// Unfinished forwards per peer; further ones fail at once.
  size_t max_forwards = 1024;
  /// Connections that a server holds open; further ones are closed.
  size_t max_connections = 256;
  /// Bytes of an answer that a server buffers for a slow reader; beyond it the
  /// forward is aborted. Those who wait for `on_writable` stay far below.
  size_t max_reply_buffer_bytes = 8U << 20U;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_TYPES_H_
