#include "bench/capacity/allocations.h"

#include <malloc.h>  // malloc_trim, malloc_usable_size
#include <unistd.h>  // sysconf

#include <algorithm>  // max
#include <cstdlib>    // free, malloc
#include <ctime>      // clock_gettime
#include <fstream>    // ifstream
#include <new>        // bad_alloc

namespace {

// The bench has one thread, so plain counters suffice.
uint64_t allocation_calls = 0;
int64_t allocation_live_bytes = 0;
int64_t allocation_peak_bytes = 0;

void* Allocate(std::size_t size) {
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  ++allocation_calls;
  allocation_live_bytes += static_cast<int64_t>(malloc_usable_size(memory));
  allocation_peak_bytes =
      std::max(allocation_peak_bytes, allocation_live_bytes);
  return memory;
}

void Release(void* memory) {
  if (memory == nullptr) {
    return;
  }
  allocation_live_bytes -= static_cast<int64_t>(malloc_usable_size(memory));
  std::free(memory);
}

}  // namespace

void* operator new(std::size_t size) {
  return Allocate(size);
}

void* operator new[](std::size_t size) {
  return Allocate(size);
}

void operator delete(void* memory) noexcept {
  Release(memory);
}

void operator delete[](void* memory) noexcept {
  Release(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
  Release(memory);
}

void operator delete[](void* memory, std::size_t /*size*/) noexcept {
  Release(memory);
}

namespace coppervalve::bench {

AllocationCount CountAllocations() {
  return {allocation_calls, allocation_live_bytes, allocation_peak_bytes};
}

void ResetPeak() {
  allocation_peak_bytes = allocation_live_bytes;
}

void TrimFreedMemory() {
  malloc_trim(0);
}

int64_t ThreadCpuNanoseconds() {
  constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * kNanosecondsPerSecond + time.tv_nsec;
}

int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  int64_t size = 0;
  int64_t resident = 0;
  statm >> size >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

}  // namespace coppervalve::bench
