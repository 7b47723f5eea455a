#ifndef COPPERVALVE_APPS_COPPERVALVED_SETTING_TABLE_H_
#define COPPERVALVE_APPS_COPPERVALVED_SETTING_TABLE_H_

#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "settings.h"

namespace coppervalve::daemon {

/// @brief One setting: its flag, how it is read and what it may be.
struct SettingSpec {
  std::string name;      ///< without "--"
  std::string fallback;  ///< taken when not given
  std::string help;
  std::string allowed;
  bool required = false;
  bool secret = false;  ///< never printed
  /// Stores the value. @return whether it is allowed
  std::function<bool(Settings&, const std::string&)> store;
};

/// @brief All settings, in the order in which they are printed.
const std::vector<SettingSpec>& SettingTable();

/// @brief The environment variable of a setting.
std::string VariableOf(const SettingSpec& spec);

}  // namespace coppervalve::daemon

#endif  // COPPERVALVE_APPS_COPPERVALVED_SETTING_TABLE_H_
