#include "coppervalve/entry/request_print.h"

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

constexpr size_t kDigestBytes = 16;
constexpr size_t kSketchBytes = 8;
constexpr size_t kShortBytes = 6;
constexpr unsigned kBitsOfByte = 8;

// Length prefixes keep adjacent parts distinguishable.
std::string Framed(std::string_view part) {
  return std::to_string(part.size()) + ":" + std::string(part);
}

std::string HeadOf(const RequestContent& content) {
  return Framed(content.account.value()) + Framed(content.method) +
         Framed(content.target);
}

}  // namespace

std::string RequestPrint::ToBytes() const {
  std::string bytes;
  for (size_t i = 0; i < kSketchBytes; ++i) {
    bytes.push_back(static_cast<char>(sketch >> (i * kBitsOfByte)));
  }
  return bytes + digest;
}

RequestPrint RequestPrint::FromBytes(std::string_view bytes) {
  if (bytes.size() != kSketchBytes + kDigestBytes) {
    return {};
  }
  RequestPrint print;
  for (size_t i = 0; i < kSketchBytes; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    print.sketch |= static_cast<uint64_t>(byte) << (i * kBitsOfByte);
  }
  print.digest = bytes.substr(kSketchBytes);
  return print;
}

std::string RequestPrint::Short() const {
  return core::HexOf(std::string_view(digest).substr(0, kShortBytes));
}

uint64_t SketchOf(const RequestContent& content) {
  return core::Hash64(HeadOf(content), content.body.size());
}

// The body is hashed on its own, so that a long one is not copied.
RequestPrint PrintOf(const RequestContent& content) {
  RequestPrint print;
  print.sketch = SketchOf(content);
  print.digest = core::Sha256(HeadOf(content) + core::Sha256(content.body))
                     .substr(0, kDigestBytes);
  return print;
}

}  // namespace coppervalve::entry
