#include "coppervalve/entry/working_set.h"

#include <algorithm>  // max

namespace coppervalve::entry {

size_t WorkingSets::RequiredSize(double in_progress) const {
  size_t size = m_options.min_size;
  while (static_cast<double>(size) <
         in_progress * m_options.upstreams_per_request) {
    size *= 2;
  }
  return size;
}

size_t WorkingSets::SizeOf(const core::ServiceId& service) const {
  const auto found = m_sets.find(service);
  return found == m_sets.end() ? m_options.min_size : found->second.size;
}

// A set grows at once and is halved only after a while: upstreams that leave it
// keep their prefix caches and connections, which a returning burst can use.
void WorkingSets::OnLoad(const core::ServiceId& service,
                         double in_progress,
                         core::TimePoint now) {
  Set& set = m_sets[service];
  const size_t required = RequiredSize(in_progress);
  if (required >= set.size) {
    set = {required, now};
    return;
  }
  if (now - set.needed_at >= m_options.keep_larger) {
    set = {std::max(required, set.size / 2), now};
  }
}

}  // namespace coppervalve::entry
