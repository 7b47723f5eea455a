#ifndef COPPERVALVE_NET_PEER_LINK_H_
#define COPPERVALVE_NET_PEER_LINK_H_

/// Links between routers: HTTP/2 over TCP with nghttp2. A message is one short
/// stream; a forward is one stream that carries a caller's request and its
/// streamed answer. Each stream proves a shared secret; contents are not
/// encrypted. TLS with keys of each router is the next step and belongs under
/// src/net/detail/peer_socket.h, the only file that touches the socket.

#include "coppervalve/net/peer_auth.h"
#include "coppervalve/net/peer_client.h"
#include "coppervalve/net/peer_server.h"
#include "coppervalve/net/peer_types.h"

#endif  // COPPERVALVE_NET_PEER_LINK_H_
