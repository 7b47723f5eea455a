#ifndef COPPERVALVE_APPS_COPPERVALVE_LOG_CLIENT_H_
#define COPPERVALVE_APPS_COPPERVALVE_LOG_CLIENT_H_

#include <chrono>  // milliseconds
#include <string>  // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::cli {

/// @brief The platform's log service over HTTP.
class LogClient {
 public:
  /// @param address "ip:port"
  /// @param call_timeout how long an operation is repeated before it fails
  LogClient(std::string address, std::chrono::milliseconds call_timeout);

  /// @brief Appends an entry, repeating it byte for byte while its outcome is
  /// unknown: the caller must have made it safe to fold twice.
  /// @error kLogUnavailable: it may or may not be in the log
  core::Result<core::LogOffset> Append(const v1::Entry& entry) const;

  /// @brief Reads from an offset.
  /// @param wait how long the service may hold an empty answer
  /// @error kLogUnavailable
  core::Result<v1::ReadReply> Read(core::LogOffset from,
                                   std::chrono::milliseconds wait) const;

 private:
  std::string m_address;
  std::chrono::milliseconds m_call_timeout;
};

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_LOG_CLIENT_H_
