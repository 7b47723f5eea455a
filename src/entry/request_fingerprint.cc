#include "coppervalve/entry/request_fingerprint.h"

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

constexpr size_t kDigestBytes = 16;
constexpr size_t kQuickHashBytes = 8;
constexpr size_t kShortBytes = 6;
constexpr unsigned kBitsOfByte = 8;

// Length prefixes keep adjacent parts distinguishable.
std::string LengthPrefixed(std::string_view part) {
  return std::to_string(part.size()) + ":" + std::string(part);
}

std::string HeadDigestInput(const RequestContent& content) {
  return LengthPrefixed(content.account.value()) +
         LengthPrefixed(content.method) + LengthPrefixed(content.target);
}

std::string PartDigestInput(const core::ServiceId& service,
                            std::string_view part) {
  return LengthPrefixed(service.value()) + LengthPrefixed(part);
}

}  // namespace

std::string RequestFingerprint::ToBytes() const {
  std::string bytes;
  for (size_t i = 0; i < kQuickHashBytes; ++i) {
    bytes.push_back(static_cast<char>(quick_hash >> (i * kBitsOfByte)));
  }
  return bytes + digest;
}

RequestFingerprint RequestFingerprint::FromBytes(std::string_view bytes) {
  if (bytes.size() != kQuickHashBytes + kDigestBytes) {
    return {};
  }
  RequestFingerprint fingerprint;
  for (size_t i = 0; i < kQuickHashBytes; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    fingerprint.quick_hash |= static_cast<uint64_t>(byte) << (i * kBitsOfByte);
  }
  fingerprint.digest = bytes.substr(kQuickHashBytes);
  return fingerprint;
}

std::string RequestFingerprint::ShortHex() const {
  return core::HexOf(std::string_view(digest).substr(0, kShortBytes));
}

uint64_t QuickHashOf(const RequestContent& content) {
  return core::Hash64(HeadDigestInput(content), content.body.size());
}

// The body is hashed on its own, so that a long one is not copied.
RequestFingerprint FingerprintOf(const RequestContent& content) {
  RequestFingerprint fingerprint;
  fingerprint.quick_hash = QuickHashOf(content);
  fingerprint.digest =
      core::Sha256(HeadDigestInput(content) + core::Sha256(content.body))
          .substr(0, kDigestBytes);
  return fingerprint;
}

uint64_t QuickHashOfPart(const core::ServiceId& service,
                         std::string_view part) {
  return core::Hash64(PartDigestInput(service, part));
}

RequestFingerprint FingerprintOfPart(const core::ServiceId& service,
                                     std::string_view part) {
  const std::string input = PartDigestInput(service, part);
  return {core::Hash64(input), core::Sha256(input).substr(0, kDigestBytes)};
}

}  // namespace coppervalve::entry
