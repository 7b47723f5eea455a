#ifndef COPPERVALVE_APPS_COPPERVALVED_SETTING_TABLE_H_
#define COPPERVALVE_APPS_COPPERVALVED_SETTING_TABLE_H_

#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "settings.h"

namespace coppervalve::daemon {

/// @brief Describes one setting: its flag, its parser and its allowed values.
struct SettingSpec {
  std::string name;           ///< without "--"
  std::string default_value;  ///< used when the setting is not given
  std::string help;
  std::string allowed;
  bool required = false;
  bool secret = false;  ///< never printed
  /// Parses and stores the value. @return whether it is valid
  std::function<bool(Settings&, const std::string&)> store;
};

/// @brief All settings, in the order in which they are printed.
const std::vector<SettingSpec>& SettingTable();

/// @brief Returns the name of the environment variable of a setting.
std::string VariableOf(const SettingSpec& spec);

}  // namespace coppervalve::daemon

#endif  // COPPERVALVE_APPS_COPPERVALVED_SETTING_TABLE_H_
