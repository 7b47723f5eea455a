#include "coppervalve/net/clock.h"

#include <time.h>  // clock_gettime

#include <chrono>   // duration_cast
#include <fstream>  // ifstream

namespace coppervalve::net {

core::TimePoint BootNow() {
  // CLOCK_MONOTONIC stops while a VM is suspended; after the resume, the router
  // would treat its outdated configuration as fresh.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return core::TimePoint(
      std::chrono::duration_cast<core::Duration>(since_boot));
}

std::string BootId() {
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string id;
  std::getline(file, id);
  return id;
}

}  // namespace coppervalve::net
