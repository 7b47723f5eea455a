#ifndef COPPERVALVE_ROUTER_DETAIL_JSON_REPLY_H_
#define COPPERVALVE_ROUTER_DETAIL_JSON_REPLY_H_

#include <google/protobuf/message.h>

#include <cstdint>  // uint32_t
#include <string>   // string

namespace coppervalve::router::detail {

inline constexpr uint32_t kHttpOk = 200;

/// @brief A reply in the schema's JSON form, with the schema's field names and
/// fields of value 0 included.
std::string JsonOf(const google::protobuf::Message& message);

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_JSON_REPLY_H_
