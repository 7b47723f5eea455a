#ifndef COPPERVALVE_HTTP1_RETRY_AFTER_H_
#define COPPERVALVE_HTTP1_RETRY_AFTER_H_

#include <optional>  // optional

#include "coppervalve/core/units.h"
#include "coppervalve/http1/header_list.h"

namespace coppervalve::http1 {

/// @brief Reads `Retry-After` in seconds, fractions too; the longest where it
/// stands more than once.
/// @return none for what is no number above 0, dates among it; at most the
/// longest wait that is believed
std::optional<core::Duration> ParseRetryAfter(const HeaderList& headers);

}  // namespace coppervalve::http1

#endif  // COPPERVALVE_HTTP1_RETRY_AFTER_H_
