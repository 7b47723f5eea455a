#ifndef COPPERVALVE_ENTRY_UPSTREAM_GATE_H_
#define COPPERVALVE_ENTRY_UPSTREAM_GATE_H_

#include <cstdint>  // uint8_t

#include "coppervalve/entry/evacuations.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::entry {

/// @brief Whether an upstream may be sent a request now.
enum class Passage : uint8_t {
  kOpen,
  kEvacuated,  ///< its failure domain is evacuated
};

/// @brief What forbids requests to upstreams that are well and not leaving.
/// Asked when a request is placed and again before its first byte goes out, as
/// opening a connection takes time.
class UpstreamGate {
 public:
  Passage Of(const Upstream& upstream) const;

  Evacuations& evacuations() { return m_evacuations; }
  const Evacuations& evacuations() const { return m_evacuations; }

 private:
  Evacuations m_evacuations;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_GATE_H_
