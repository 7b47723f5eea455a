#ifndef COPPERVALVE_SRC_GATEWAY_CHUNK_H_
#define COPPERVALVE_SRC_GATEWAY_CHUNK_H_

#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::gateway {

inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// @param bytes not empty
std::string Chunk(std::string_view bytes);

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_SRC_GATEWAY_CHUNK_H_
