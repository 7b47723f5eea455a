#ifndef COPPERVALVE_HTTP1_RETRY_AFTER_H_
#define COPPERVALVE_HTTP1_RETRY_AFTER_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"
#include "coppervalve/http1/header_list.h"

namespace coppervalve::http1 {

/// @brief Parses `Retry-After` in seconds, including fractions; the longest
/// value if it is repeated.
/// @return none for anything but a number above 0, including dates; limited to
/// the longest wait that is accepted
std::optional<core::Duration> ParseRetryAfter(const HeaderList& headers);

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_RETRY_AFTER_H_
