#ifndef COPPERVALVE_SRC_NET_FORWARD_RELAY_H_
#define COPPERVALVE_SRC_NET_FORWARD_RELAY_H_

#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "coppervalve/net/answer.h"
#include "coppervalve/net/peer_types.h"

namespace coppervalve::net {

/// @brief Copies a peer's answer to a forward into the caller's answer.
/// @param on_end called once, on the peer link's thread
ForwardCallbacks RelayForward(std::shared_ptr<Answer> answer,
                              size_t max_answer_bytes,
                              std::function<void(ForwardOutcome)> on_end);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_FORWARD_RELAY_H_
