#include "peer_fields.h"

#include <nghttp2/nghttp2.h>

#include <charconv>      // from_chars
#include <system_error>  // errc

#include "coppervalve/core/error.h"
#include "coppervalve/core/ids.h"

namespace coppervalve::net::detail {
namespace {

constexpr std::string_view kAccountField = "x-peer-account";
constexpr std::string_view kIncarnationField = "x-peer-incarnation";
constexpr std::string_view kMethodField = "x-peer-method";
constexpr std::string_view kTargetField = "x-peer-path";
constexpr std::string_view kKeyField = "x-peer-key";
// Prefix for the caller's fields, so that none of them can be mistaken for a
// field of the link, and fields that HTTP/2 forbids (connection, host) can be
// carried.
constexpr std::string_view kForwardedPrefix = "x-fwd-";

constexpr size_t kFieldOverhead = 32;  // RFC 9113, 6.5.2
constexpr uint32_t kLowestFinalStatus = 200;
constexpr uint32_t kHighestStatus = 599;

const uint8_t* Bytes(std::string_view text) {
  return reinterpret_cast<const uint8_t*>(text.data());
}

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc{} || stopped != end) {
    return std::nullopt;
  }
  return number;
}

void AppendForwarded(const HeaderList& headers, HeaderList& fields) {
  for (const auto& [name, value] : headers) {
    fields.emplace_back(std::string(kForwardedPrefix) + name, value);
  }
}

HeaderList TakeForwarded(const HeaderList& fields) {
  HeaderList headers;
  for (const auto& [name, value] : fields) {
    if (!name.starts_with(kForwardedPrefix)) {
      continue;
    }
    headers.emplace_back(name.substr(kForwardedPrefix.size()), value);
  }
  return headers;
}

bool CanCarry(std::string_view name, std::string_view value) {
  const bool pseudo = name.starts_with(':');
  return (pseudo || nghttp2_check_header_name(Bytes(name), name.size()) != 0) &&
         nghttp2_check_header_value_rfc9113(Bytes(value), value.size()) != 0;
}

}  // namespace

std::string_view Find(const HeaderList& fields, std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (field == name) {
      return value;
    }
  }
  return {};
}

size_t FieldBytes(std::string_view name, std::string_view value) {
  return name.size() + value.size() + kFieldOverhead;
}

core::Status CheckFields(const HeaderList& fields, size_t max_bytes) {
  size_t bytes = 0;
  for (const auto& [name, value] : fields) {
    if (!CanCarry(name, value)) {
      return core::Error{core::ErrorId::kBadRequest, name,
                         "not a header field that HTTP/2 can carry"};
    }
    bytes += FieldBytes(name, value);
  }
  if (bytes > max_bytes) {
    return core::Error{core::ErrorId::kHeaderTooLarge, "header fields",
                       std::to_string(bytes) + " bytes"};
  }
  return core::Ok();
}

HeaderList EncodeForward(const ForwardHead& head) {
  HeaderList fields;
  fields.emplace_back(kAccountField, head.account.value());
  fields.emplace_back(kIncarnationField,
                      std::to_string(head.to_incarnation.value()));
  fields.emplace_back(kMethodField, head.method);
  fields.emplace_back(kTargetField, head.path);
  if (!head.idempotency_key.empty()) {
    fields.emplace_back(kKeyField, head.idempotency_key);
  }
  AppendForwarded(head.headers, fields);
  return fields;
}

std::optional<ForwardHead> DecodeForward(const HeaderList& fields) {
  const auto incarnation =
      ParseNumber<uint64_t>(Find(fields, kIncarnationField));
  ForwardHead head;
  head.account = core::AccountId(std::string(Find(fields, kAccountField)));
  head.method = Find(fields, kMethodField);
  head.path = Find(fields, kTargetField);
  if (!incarnation || head.account.empty() || head.method.empty() ||
      head.path.empty()) {
    return std::nullopt;
  }
  head.to_incarnation = core::Incarnation(*incarnation);
  head.idempotency_key = Find(fields, kKeyField);
  head.headers = TakeForwarded(fields);
  return head;
}

HeaderList EncodeReply(const ReplyHead& head) {
  HeaderList fields;
  fields.emplace_back(kStatusField, std::to_string(head.status));
  AppendForwarded(head.headers, fields);
  return fields;
}

std::optional<ReplyHead> DecodeReply(const HeaderList& fields) {
  const auto status = ParseNumber<uint32_t>(Find(fields, kStatusField));
  if (!status || *status < kLowestFinalStatus || *status > kHighestStatus) {
    return std::nullopt;
  }
  return ReplyHead{*status, TakeForwarded(fields)};
}

std::string SignedText(const HeaderList& fields) {
  std::string text;
  for (const auto& [name, value] : fields) {
    const bool pseudo = name.starts_with(':');
    if (name == kAuthField || (pseudo && name != kPathField)) {
      continue;
    }
    text.append(name).append(": ").append(value).append("\n");
  }
  return text;
}

}  // namespace coppervalve::net::detail
