#ifndef COPPERVALVE_ENTRY_SUCCESSION_H_
#define COPPERVALVE_ENTRY_SUCCESSION_H_

#include <optional>  // optional
#include <string>    // string

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief What a start of a router knows of the one before it.
struct Succession {
  std::string boot;  ///< of the VM; empty when it can't be told
  /// A time of the VM's clock by which the start before had ended for certain;
  /// none when it can't be told.
  std::optional<core::TimePoint> alone_since;
};

/// @brief Whether the start that wrote a record can't have touched what the
/// record holds back.
/// @param last its newest record, read after its writes were shut out
bool HeldBack(const v1::RouterBeat& last, const Succession& succession);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_SUCCESSION_H_
