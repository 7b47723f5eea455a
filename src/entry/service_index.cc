#include "coppervalve/entry/service_index.h"

#include <algorithm>  // lower_bound

namespace coppervalve::entry {

namespace {

bool Precedes(const UpstreamRef& a, const UpstreamRef& b) {
  if (a->order != b->order) {
    return a->order < b->order;
  }
  return a->entry.id < b->entry.id;
}

}  // namespace

// Sorting thousands of upstreams anew at each change would take longer than the
// changes of a release are apart.
void ServiceIndex::Insert(const UpstreamRef& upstream) {
  std::vector<UpstreamRef>& listed = m_by_service[upstream->entry.service];
  const auto at =
      std::lower_bound(listed.begin(), listed.end(), upstream, Precedes);
  if (at == listed.end() || *at != upstream) {
    listed.insert(at, upstream);
  }
}

void ServiceIndex::Erase(const UpstreamRef& upstream) {
  const auto found = m_by_service.find(upstream->entry.service);
  if (found == m_by_service.end()) {
    return;
  }
  std::vector<UpstreamRef>& listed = found->second;
  const auto at =
      std::lower_bound(listed.begin(), listed.end(), upstream, Precedes);
  if (at != listed.end() && *at == upstream) {
    listed.erase(at);
  }
}

const std::vector<UpstreamRef>& ServiceIndex::Of(
    const core::ServiceId& service) const {
  static const std::vector<UpstreamRef> none;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? none : found->second;
}

}  // namespace coppervalve::entry
