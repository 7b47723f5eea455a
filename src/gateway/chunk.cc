#include "chunk.h"

#include <array>   // array
#include <cstdio>  // snprintf

namespace coppervalve::gateway {

std::string Chunk(std::string_view bytes) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string text = size.data();
  text += bytes;
  text += "\r\n";
  return text;
}

}  // namespace coppervalve::gateway
