#ifndef COPPERVALVE_CONFIG_SCHEMA_CHECKER_H_
#define COPPERVALVE_CONFIG_SCHEMA_CHECKER_H_

#include <google/protobuf/descriptor.h>

#include "coppervalve/config/parse.h"
#include "json_tree.h"

namespace coppervalve::config {

/// @brief Compares a JSON document with a message type: unknown fields, wrong
/// types, numbers out of range, unknown enum names, repeated names, and two
/// fields of one oneof.
/// @return all findings, in document order
/// @complexity linear in the document
Findings CheckSchema(const JsonNode& root,
                     const google::protobuf::Descriptor& type);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_SCHEMA_CHECKER_H_
