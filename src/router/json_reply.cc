#include "coppervalve/router/detail/json_reply.h"

#include <google/protobuf/util/json_util.h>

namespace coppervalve::router::detail {

std::string JsonOf(const google::protobuf::Message& message) {
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string json;
  const auto status =
      google::protobuf::util::MessageToJsonString(message, &json, options);
  return status.ok() ? json : "{}";
}

}  // namespace coppervalve::router::detail
