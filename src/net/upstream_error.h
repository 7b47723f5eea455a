#ifndef COPPERVALVE_SRC_NET_UPSTREAM_ERROR_H_
#define COPPERVALVE_SRC_NET_UPSTREAM_ERROR_H_

#include <boost/system/error_code.hpp>
#include <string>  // string

#include "coppervalve/core/error.h"
#include "coppervalve/net/http_types.h"

namespace coppervalve::net {

/// @brief Failure of an upstream connection after the first byte was sent.
struct ConnectionFailure {
  std::string address;
  std::string detail;
  bool expired = false;        ///< closed by this side after a timeout
  bool head_received = false;  ///< the head of the answer was received
};

/// @return kUpstreamSilent, kAnswerCut, kUpstreamProtocol or kUpstreamFailed
core::Error ToError(ConnectionFailure failure, boost::system::error_code error);

/// @brief The head of an upstream's answer as relayed to callers.
HttpHead RelayedHead(const HttpHead& head);

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_UPSTREAM_ERROR_H_
