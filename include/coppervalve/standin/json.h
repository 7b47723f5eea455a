#ifndef COPPERVALVE_STANDIN_JSON_H_
#define COPPERVALVE_STANDIN_JSON_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>      // int64_t
#include <string>       // string
#include <string_view>  // string_view

#include "coppervalve/core/result.h"
#include "coppervalve/standin/http_server.h"

namespace coppervalve::standin {

/// @brief Parses a JSON object.
/// @return kMalformedJson when the text is not a JSON object
core::Result<boost::json::object> ParseObject(std::string_view text);

/// @return the member's string, `fallback` when it is absent or not a string
std::string StringMember(const boost::json::object& object,
                         std::string_view name,
                         std::string_view fallback = {});

/// @return the member's number, `fallback` when it is absent or not an integer
int64_t NumberMember(const boost::json::object& object,
                     std::string_view name,
                     int64_t fallback);

/// @return the member's boolean, `fallback` when it is absent or not a boolean
bool BoolMember(const boost::json::object& object,
                std::string_view name,
                bool fallback);

/// @brief A JSON response.
HttpResponse JsonResponse(unsigned status, const boost::json::value& body);

/// @brief A JSON response that describes an error.
HttpResponse ErrorResponse(unsigned status, const core::Error& error);

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_JSON_H_
