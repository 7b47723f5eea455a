#ifndef COPPERVALVE_CONFIG_SEMANTIC_CHECKS_H_
#define COPPERVALVE_CONFIG_SEMANTIC_CHECKS_H_

#include <cstdint>        // int64_t
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <unordered_set>  // unordered_set

#include "coppervalve/config.pb.h"
#include "coppervalve/config/parse.h"

/// The parts of CheckSemantics, one per list of the operators' file.
namespace coppervalve::config {

/// @brief All ids that a configuration defines, for references.
struct DefinedNames {
  explicit DefinedNames(const v1::Configuration& configuration);

  std::unordered_set<std::string> accounts;
  std::unordered_set<std::string> budgets;
  std::unordered_map<std::string, const v1::Upstream*> upstreams;
  std::unordered_set<std::string> models;
  std::unordered_set<std::string> services;
};

/// @brief Collects findings and holds the checks that every list needs.
class Report {
 public:
  void Add(core::ErrorId id, std::string path, std::string detail);
  /// @brief Requires a well-formed id that is not in `seen` yet.
  void CheckUniqueId(const std::string& id,
                     const std::string& path,
                     std::unordered_map<std::string, std::string>& seen);
  /// @brief Requires a text that `seen` (text to its first path) lacks.
  void CheckUnique(const std::string& text,
                   const std::string& path,
                   std::unordered_map<std::string, std::string>& seen);
  /// @brief Requires low <= value <= high.
  void CheckRange(int64_t value,
                  int64_t low,
                  int64_t high,
                  const std::string& path);
  /// @brief Requires a text that is not empty.
  /// @return whether the text is present
  bool CheckPresent(std::string_view text, const std::string& path);

  Findings TakeFindings() { return std::move(m_findings); }

 private:
  Findings m_findings;
};

/// @return `list[i]`
std::string ItemPath(std::string_view list, size_t position);

void CheckAccounts(const v1::Configuration& configuration,
                   const DefinedNames& names,
                   Report& report);
void CheckBudgets(const v1::Configuration& configuration,
                  const DefinedNames& names,
                  Report& report);
void CheckUpstreams(const v1::Configuration& configuration, Report& report);
void CheckRules(const v1::Configuration& configuration,
                const DefinedNames& names,
                Report& report);
void CheckLimits(const v1::Limits& limits, Report& report);
/// @brief Reports rules that no request can reach: their conditions contradict
/// each other, or an earlier rule matches every request that they match.
void CheckReachability(const v1::Configuration& configuration, Report& report);

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_SEMANTIC_CHECKS_H_
