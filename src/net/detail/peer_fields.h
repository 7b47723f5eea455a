#ifndef COPPERVALVE_NET_DETAIL_PEER_FIELDS_H_
#define COPPERVALVE_NET_DETAIL_PEER_FIELDS_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint32_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/net/peer_types.h"

/// How forwards, answers and proofs are written as HTTP/2 header fields.
namespace coppervalve::net::detail {

constexpr std::string_view kMessagePath = "/peer/message";
constexpr std::string_view kForwardPath = "/peer/forward";
constexpr std::string_view kAuthField = "x-peer-auth";
constexpr std::string_view kReplyProofField = "x-peer-proof";
constexpr std::string_view kBodyDigestField = "x-peer-body-sha256";
/// Present when the link itself refused the stream and delivered nothing.
constexpr std::string_view kRefusedField = "x-peer-refused";
constexpr std::string_view kStatusField = ":status";
constexpr std::string_view kPathField = ":path";

/// @return the value of the first field of that name; empty when there is none
std::string_view Find(const HeaderList& fields, std::string_view name);

/// @return the size of a list as HTTP/2 counts it, 32 bytes a field on top
size_t FieldBytes(std::string_view name, std::string_view value);

/// @brief Checks that HTTP/2 can carry the fields.
/// @return kBadRequest for a name or value that it cannot, kHeaderTooLarge
core::Status CheckFields(const HeaderList& fields, size_t max_bytes);

HeaderList EncodeForward(const ForwardHead& head);
/// @return nothing when a field that every forward has is missing
std::optional<ForwardHead> DecodeForward(const HeaderList& fields);

HeaderList EncodeReply(const ReplyHead& head);
/// @return nothing when the status is missing or not a final one
std::optional<ReplyHead> DecodeReply(const HeaderList& fields);

/// @brief The text that the proof of a request vouches for: all its fields in
/// order but the proof itself and those that the transport adds.
std::string SignedText(const HeaderList& fields);

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_FIELDS_H_
