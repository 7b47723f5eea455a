#include "coppervalve/config/json.h"

#include <google/protobuf/util/json_util.h>

namespace coppervalve::config {

std::string ToJson(const v1::Configuration& configuration) {
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  options.preserve_proto_field_names = true;
  std::string json;
  // Printing fails only for Any and Timestamp fields; the schema has none.
  static_cast<void>(google::protobuf::util::MessageToJsonString(
      configuration, &json, options));
  return json;
}

}  // namespace coppervalve::config
