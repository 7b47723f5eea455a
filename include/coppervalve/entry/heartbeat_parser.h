#ifndef COPPERVALVE_ENTRY_HEARTBEAT_PARSER_H_
#define COPPERVALVE_ENTRY_HEARTBEAT_PARSER_H_

#include <string>  // string

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/result.h"

namespace coppervalve::entry {

/// @brief Parses and validates a router's heartbeat record.
/// @return kLogRecordInvalid if the bytes are not a message or a value is out
/// of range: a negative or implausibly large claim, or more tokens spent than
/// claimed
core::Result<v1::RouterBeat> ParseHeartbeat(const std::string& bytes);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_HEARTBEAT_PARSER_H_
