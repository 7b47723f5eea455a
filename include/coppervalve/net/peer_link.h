#ifndef COPPERVALVE_NET_PEER_LINK_H_
#define COPPERVALVE_NET_PEER_LINK_H_

/// Links between routers: HTTP/2 over TCP with nghttp2. Each message
/// uses one short stream. Each forward uses one stream, which carries a
/// caller's request and its streamed answer. Each stream is authenticated by an
/// HMAC with a shared secret; contents are not encrypted. TLS with a key per
/// router would be added in src/net/detail/peer_socket.h, the only file that
/// accesses the socket.

#include "coppervalve/net/peer_auth.h"
#include "coppervalve/net/peer_client.h"
#include "coppervalve/net/peer_server.h"
#include "coppervalve/net/peer_types.h"

#endif  // COPPERVALVE_NET_PEER_LINK_H_
