#include "coppervalve/entry/upstream_gate.h"

namespace coppervalve::entry {

Passage UpstreamGate::Of(const Upstream& upstream) const {
  return m_evacuations.Contains(upstream.entry.failure_domain)
             ? Passage::kEvacuated
             : Passage::kOpen;
}

}  // namespace coppervalve::entry
