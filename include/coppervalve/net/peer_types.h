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

/// @brief Header fields of a caller's request or answer; names in lower
/// case.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// @brief Metadata of a caller's request that is forwarded to another router.
struct ForwardHead {
  core::AccountId account;  ///< authenticated by the sending router
  /// The incarnation that the forward is addressed to. A receiver with another
  /// incarnation must refuse, so that a stale or replayed forward never runs in
  /// the wrong process.
  core::Incarnation to_incarnation;
  std::string method;           ///< of the caller's request
  std::string path;             ///< of the caller's request, with its query
  std::string idempotency_key;  ///< empty when not given
  HeaderList headers;
};

/// @brief Status and headers of the answer to a forward.
struct ReplyHead {
  uint32_t status = 200;
  HeaderList headers;
};

/// @brief Result of a forward, as seen by the sending router.
struct ForwardOutcome {
  /// The peer completed the answer, and all of it was delivered.
  bool complete = false;
  /// Bytes of the request reached the kernel, so the peer may have run it.
  /// Also false when the peer stated that it did not process the request
  /// (REFUSED_STREAM, GOAWAY with a lower stream id, refusal by the link).
  bool sent = false;
  /// Meaningful only when not complete.
  core::Error error{core::ErrorId::kOutcomeUnknown, {}, {}};
};

/// @brief Callbacks of a forward, called in order and never concurrently:
/// on_head at most once, on_body any number of times, on_end exactly once.
struct ForwardCallbacks {
  std::function<void(ReplyHead head)> on_head;
  /// Call `consumed`, from any thread, when the bytes have been relayed. Until
  /// then they count against the stream's flow-control window, and a full
  /// window stops the peer from sending.
  std::function<void(std::string bytes, std::function<void()> consumed)>
      on_body;
  std::function<void(ForwardOutcome outcome)> on_end;
};

/// @brief Limits and timeouts of the links; the defaults suit routers in one
/// region.
struct PeerSettings {
  /// Time without received data after which a PING is sent.
  std::chrono::milliseconds ping_interval{2000};
  /// Time without received data after which the connection is closed; must
  /// exceed ping_interval.
  std::chrono::milliseconds silence_deadline{3000};
  std::chrono::milliseconds connect_timeout{1000};
  /// Delay after a failed connect, doubled up to the maximum.
  std::chrono::milliseconds backoff_min{50};
  std::chrono::milliseconds backoff_max{1000};
  /// Delay between the shutdown notice and the final GOAWAY.
  std::chrono::milliseconds goaway_grace{200};
  size_t max_message_bytes = 1U << 20U;
  size_t max_forward_body_bytes = 16U << 20U;
  size_t max_header_bytes = 32U << 10U;
  /// Unanswered messages per peer; further ones fail at once.
  size_t max_queued_messages = 256;
  /// Unfinished forwards per peer; further ones fail at once.
  size_t max_forwards = 1024;
  /// Open connections of a server; further ones are closed.
  size_t max_connections = 256;
  /// Bytes of an answer that a server buffers for a slow reader; beyond it the
  /// forward is aborted. Writers that wait for `on_writable` stay far below.
  size_t max_reply_buffer_bytes = 8U << 20U;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PEER_TYPES_H_
