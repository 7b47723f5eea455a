#ifndef COPPERVALVE_APPS_COPPERVALVE_LOG_CLIENT_H_
#define COPPERVALVE_APPS_COPPERVALVE_LOG_CLIENT_H_

#include <chrono>  // milliseconds
#include <string>  // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::cli {

/// @brief HTTP client of the platform's log service.
class LogClient {
 public:
  /// @param address "ip:port"
  /// @param call_timeout how long an operation is retried before it fails
  LogClient(std::string address, std::chrono::milliseconds call_timeout);

  /// @brief Appends an entry and resends it byte for byte until the outcome is
  /// known. The entry must be idempotent, since it may be logged more than
  /// once.
  /// @error kLogUnavailable: the entry may or may not be in the log
  core::Result<core::LogOffset> Append(const v1::Entry& entry) const;

  /// @brief Reads from an offset.
  /// @param wait how long the service may delay an empty answer
  /// @error kLogUnavailable
  core::Result<v1::ReadReply> Read(core::LogOffset from,
                                   std::chrono::milliseconds wait) const;

 private:
  std::string m_address;
  std::chrono::milliseconds m_call_timeout;
};

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_LOG_CLIENT_H_
