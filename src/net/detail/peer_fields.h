#ifndef COPPERVALVE_NET_DETAIL_PEER_FIELDS_H_
#define COPPERVALVE_NET_DETAIL_PEER_FIELDS_H_

#include <cstddef>      // size_t
#include <cstdint>      // uint32_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/net/peer_types.h"

/// Encoding of forwards, answers and proofs as HTTP/2 header fields.
namespace coppervalve::net::detail {

constexpr std::string_view kMessagePath = "/peer/message";
constexpr std::string_view kForwardPath = "/peer/forward";
constexpr std::string_view kAuthField = "x-peer-auth";
constexpr std::string_view kReplyProofField = "x-peer-proof";
constexpr std::string_view kBodyDigestField = "x-peer-body-sha256";
/// Present when the link refused the stream without delivering anything.
constexpr std::string_view kRefusedField = "x-peer-refused";
constexpr std::string_view kStatusField = ":status";
constexpr std::string_view kPathField = ":path";

/// @return the value of the first field of that name; empty when there is none
std::string_view Find(const HeaderList& fields, std::string_view name);

/// @return the size of a list as HTTP/2 defines it: 32 extra bytes per field
size_t FieldBytes(std::string_view name, std::string_view value);

/// @brief Checks that HTTP/2 can carry the fields.
/// @return kBadRequest for an invalid name or value, kHeaderTooLarge
core::Status CheckFields(const HeaderList& fields, size_t max_bytes);

HeaderList EncodeForward(const ForwardHead& head);
/// @return empty when a required field is missing
std::optional<ForwardHead> DecodeForward(const HeaderList& fields);

HeaderList EncodeReply(const ReplyHead& head);
/// @return empty when the status is missing or not a final one
std::optional<ReplyHead> DecodeReply(const HeaderList& fields);

/// @brief The text that the proof of a request covers: all its fields in order,
/// except the proof itself and those that the transport adds.
std::string SignedText(const HeaderList& fields);

}  // namespace coppervalve::net::detail

#endif  // COPPERVALVE_NET_DETAIL_PEER_FIELDS_H_
