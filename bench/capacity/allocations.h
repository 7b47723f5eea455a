#ifndef BENCH_CAPACITY_ALLOCATIONS_H_
#define BENCH_CAPACITY_ALLOCATIONS_H_

#include <cstdint>  // int64_t, uint64_t

namespace coppervalve::bench {

/// @brief Counts of this program's replaced operators new and delete.
struct AllocationCount {
  uint64_t calls = 0;      ///< calls of operator new
  int64_t live_bytes = 0;  ///< usable bytes not yet freed
  int64_t peak_bytes = 0;  ///< highest live_bytes since ResetPeak()
};

AllocationCount CountAllocations();
void ResetPeak();
/// @brief Returns freed memory to the system, so that it is not resident.
void TrimFreedMemory();

/// @return processor time of the calling thread
int64_t ThreadCpuNanoseconds();

/// @return resident set of this process, from /proc/self/statm
int64_t ResidentBytes();

}  // namespace coppervalve::bench

#endif  // BENCH_CAPACITY_ALLOCATIONS_H_
