#ifndef COPPERVALVE_SRC_TELEMETRY_EASYLOGGING_SETUP_H_
#define COPPERVALVE_SRC_TELEMETRY_EASYLOGGING_SETUP_H_

// The library and its users must be compiled with the same macros. Without the
// second one the library writes a log file to the working directory, but the
// VMs have no disks.
#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE

#endif  // COPPERVALVE_SRC_TELEMETRY_EASYLOGGING_SETUP_H_
