#ifndef COPPERVALVE_ENTRY_ADMISSION_H_
#define COPPERVALVE_ENTRY_ADMISSION_H_

#include <cstdint>   // uint8_t, uint64_t
#include <memory>    // shared_ptr
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/in_force.h"

namespace coppervalve::entry {

/// @brief What a caller asks for, free of how it was put.
struct RequestFacts {
  std::string id;  ///< of this one attempt of the caller
  std::string host;
  std::string target;
  std::string key;            ///< empty when none was sent
  core::Duration patience{};  ///< how long the caller waits; 0 = not said
  core::Tokens prompt{};
  core::Tokens most_output{};
  std::string shared_prefix;  ///< parts of the prompt shared with others
  core::Tokens shared_tokens{};
  std::string resume_after;  ///< id of the last event the caller has
};

/// @brief A request that may be sent.
struct Admitted {
  std::shared_ptr<const InForce> in_force;  ///< keeps `route` and `account`
  const Route* route = nullptr;
  const Account* account = nullptr;  ///< null on a public route
  core::ServiceId service;
  core::Duration limit{};  ///< from arrival to the final answer
  uint8_t priority = 0;
};

/// @brief How far this router's configuration can be trusted.
struct ConfigurationView {
  std::shared_ptr<const InForce> in_force;  ///< null: none yet
  /// No newer one can have been in force for long.
  bool fresh = false;
  /// Too old to go on honouring keys that may have been taken away.
  bool keys_expired = false;
};

/// @brief Decides by the configuration alone.
/// @param draw uniform bits
/// @return kNotReady without a configuration, kNotFound, kUnauthorized, or
/// kConfigurationStale where a newer configuration may decide otherwise
core::Result<Admitted> Admit(const ConfigurationView& view,
                             const RequestFacts& facts,
                             uint64_t draw);

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_ADMISSION_H_
