#ifndef COPPERVALVE_SRC_NET_HTTP_SERIALIZER_H_
#define COPPERVALVE_SRC_NET_HTTP_SERIALIZER_H_

#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/net/http_types.h"

/// HTTP/1.1 messages as bytes. Framing headers are set here and nowhere else.
namespace coppervalve::net {

/// @param host value of the Host header
std::string SerializeRequest(const HttpRequest& request, std::string_view host);

/// @brief What a whole answer needs besides its head and body.
struct ResponseOptions {
  bool close = false;      ///< the connection ends after the answer
  bool omit_body = false;  ///< the answer to a HEAD request
};

std::string SerializeResponse(const HttpHead& head,
                              std::string_view body,
                              const ResponseOptions& options);

/// @brief The head of an answer in chunks.
std::string SerializeStreamHead(const HttpHead& head,
                                const ResponseOptions& options);
std::string SerializeChunk(std::string_view bytes);
std::string SerializeLastChunk();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_HTTP_SERIALIZER_H_
