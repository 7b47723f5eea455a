#ifndef COPPERVALVE_TOOLS_LOAD_JSON_H_
#define COPPERVALVE_TOOLS_LOAD_JSON_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>      // int64_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"

namespace coppervalve::load {

/// @return the document, nothing when the text is not valid JSON
std::optional<boost::json::value> ParseJson(std::string_view text);

/// @brief Reads a file that holds one document.
/// @error kSettingBadValue (unreadable), kMalformedJson
core::Result<boost::json::value> ReadJsonFile(const std::string& path);

/// @brief Writes one document to a file.
/// @error kSettingBadValue
core::Status WriteJsonFile(const std::string& path,
                           const boost::json::value& document);

/// @return the member's string, empty when it is absent or not a string
std::string StringMember(const boost::json::object& object,
                         std::string_view name);
/// @return the member's number, `fallback` when it is absent or not a number
int64_t NumberMember(const boost::json::object& object,
                     std::string_view name,
                     int64_t fallback = 0);
/// @return the member's boolean, false when it is absent
bool BoolMember(const boost::json::object& object, std::string_view name);
/// @return the member if it is an object, else null
const boost::json::object* ObjectMember(const boost::json::object& object,
                                        std::string_view name);
/// @return the member if it is an array, else null
const boost::json::array* ArrayMember(const boost::json::object& object,
                                      std::string_view name);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_JSON_H_
