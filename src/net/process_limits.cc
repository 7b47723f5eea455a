#include "coppervalve/net/process_limits.h"

#include <sys/resource.h>  // getrlimit
#include <unistd.h>        // sysconf

#include <fstream>  // ifstream

namespace coppervalve::net {

namespace {

// Descriptors for files, events and timers.
constexpr size_t kOtherDescriptors = 64;

}  // namespace

size_t MaxSockets() {
  struct rlimit limit {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return 0;
  }
  const auto descriptors = static_cast<size_t>(limit.rlim_cur);
  return descriptors > 2 * kOtherDescriptors ? descriptors - kOtherDescriptors
                                             : descriptors / 2;
}

size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  size_t all_pages = 0;
  size_t resident_pages = 0;
  file >> all_pages >> resident_pages;
  return file ? resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

}  // namespace coppervalve::net
