#ifndef COPPERVALVE_APPS_COPPERVALVED_VERSION_H_
#define COPPERVALVE_APPS_COPPERVALVED_VERSION_H_

namespace coppervalve::daemon {

/// Must equal the version in `project(... VERSION ...)` of CMakeLists.txt.
inline constexpr const char* kVersion = "0.1.0";

}  // namespace coppervalve::daemon

#endif  // COPPERVALVE_APPS_COPPERVALVED_VERSION_H_
