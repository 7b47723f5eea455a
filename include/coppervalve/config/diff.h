#ifndef COPPERVALVE_CONFIG_DIFF_H_
#define COPPERVALVE_CONFIG_DIFF_H_

#include <string>  // string
#include <vector>  // vector

#include "coppervalve/config.pb.h"

namespace coppervalve::config {

/// @brief One difference between two configurations.
struct Change {
  std::string path;    ///< such as `$.budgets[id=gate].prepaid_tokens`
  std::string before;  ///< JSON; empty when absent
  std::string after;   ///< JSON; empty when absent

  friend bool operator==(const Change&, const Change&) = default;
};

/// @brief Lists the differences by path. Accounts, budgets, upstreams and rules
/// are matched by id; a changed order of rules is a change of its own.
/// @return empty iff the configurations are equal
/// @complexity linear in the sizes of both, times log for the pairing
std::vector<Change> Diff(const v1::Configuration& older,
                         const v1::Configuration& newer);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_DIFF_H_
