#ifndef COPPERVALVE_ENTRY_ADMISSION_H_
#define COPPERVALVE_ENTRY_ADMISSION_H_

#include <cstdint>   // uint8_t, uint64_t
#include <memory>    // shared_ptr
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/configuration_index.h"

namespace coppervalve::entry {

/// @brief The facts of a request, independent of the protocol it arrived in.
struct RequestFacts {
  std::string id;  ///< unique to this attempt of the caller
  std::string host;
  std::string target;
  std::string key;                  ///< API key; empty if none was sent
  core::Duration caller_timeout{};  ///< caller's timeout; 0 = unknown
  core::Tokens prompt{};
  core::Tokens max_output{};
  std::string shared_prefix;  ///< prompt prefix shared with other requests
  /// Ids of the parts of that prefix, in order, each in one spelling.
  std::vector<std::string> shared_parts;
  core::Tokens shared_tokens{};
  std::string resume_after;  ///< id of the last event the caller received
  /// Id of the request that brought the stream's first event; empty if the
  /// caller names none.
  std::string resumes;
};

/// @brief A request that passed admission and may be sent.
struct Admitted {
  /// Owns `route` and `account`.
  std::shared_ptr<const ConfigurationIndex> configuration_index;
  const Route* route = nullptr;
  const Account* account = nullptr;  ///< null on a public route
  core::ServiceId service;
  core::Duration limit{};  ///< from arrival to the end of the response
  uint8_t priority = 0;
  core::Duration configuration_age{};  ///< ConfigurationView::age
};

/// @brief The router's configuration and how current it is.
struct ConfigurationView {
  /// Null if none was read yet.
  std::shared_ptr<const ConfigurationIndex> configuration_index;
  /// True if a newer configuration can't have been in force for long.
  bool fresh = false;
  /// True if the configuration is too old to accept keys that may have been
  /// revoked since.
  bool keys_expired = false;
  /// Each version written before that is known.
  core::Duration age{};
};

/// @brief Admits or rejects a request by the configuration alone.
/// @param draw uniformly distributed random bits
/// @return kNotReady without a configuration, kNotFound, kUnauthorized, or
/// kConfigurationStale where a newer configuration may decide otherwise
core::Result<Admitted> Admit(const ConfigurationView& view,
                             const RequestFacts& facts,
                             uint64_t draw);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ADMISSION_H_
