#ifndef COPPERVALVE_ENTRY_BEAT_READER_H_
#define COPPERVALVE_ENTRY_BEAT_READER_H_

#include <string>  // string

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/result.h"

namespace coppervalve::entry {

/// @brief Reads a beat of any router from its record.
/// @return kLogRecordInvalid where bytes or figures make no sense: no claim is
/// negative, spends more than it holds, or is larger than any total can be
core::Result<v1::RouterBeat> ReadBeat(const std::string& bytes);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_BEAT_READER_H_
