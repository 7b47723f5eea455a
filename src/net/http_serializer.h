#ifndef COPPERVALVE_SRC_NET_HTTP_SERIALIZER_H_
#define COPPERVALVE_SRC_NET_HTTP_SERIALIZER_H_

#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/net/http_types.h"

/// Serialization of HTTP/1.1 messages. Framing headers are set only here.
namespace coppervalve::net {

/// @param host value of the Host header
std::string SerializeRequest(const HttpRequest& request, std::string_view host);

/// @brief Options for the serialization of a response.
struct ResponseOptions {
  bool close = false;      ///< the connection is closed after the answer
  bool omit_body = false;  ///< the answer to a HEAD request
};

std::string SerializeResponse(const HttpHead& head,
                              std::string_view body,
                              const ResponseOptions& options);

/// @brief The head of a response with chunked encoding.
std::string SerializeStreamHead(const HttpHead& head,
                                const ResponseOptions& options);
std::string SerializeChunk(std::string_view bytes);
std::string SerializeLastChunk();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_HTTP_SERIALIZER_H_
