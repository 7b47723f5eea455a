#ifndef COPPERVALVE_NET_PROCESS_LIMITS_H_
#define COPPERVALVE_NET_PROCESS_LIMITS_H_

#include <cstddef>  // size_t

namespace coppervalve::net {

/// @return how many sockets this process may open, by its limit on descriptors;
/// 0 if there is none
size_t MaxSockets();

/// @return memory of this process that is resident, in bytes; 0 if unknown
size_t ResidentBytes();

}  // namespace coppervalve::net

#endif  // COPPERVALVE_NET_PROCESS_LIMITS_H_
