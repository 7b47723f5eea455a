#include "coppervalve/standin/json.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace coppervalve::standin {

core::Result<boost::json::object> ParseObject(std::string_view text) {
  boost::system::error_code error;
  boost::json::value value =
      boost::json::parse({text.data(), text.size()}, error);
  if (error) {
    return core::Error{core::ErrorId::kMalformedJson, "body", error.message()};
  }
  if (!value.is_object()) {
    return core::Error{core::ErrorId::kMalformedJson, "body", "not an object"};
  }
  return std::move(value.get_object());
}

std::string StringMember(const boost::json::object& object,
                         std::string_view name,
                         std::string_view fallback) {
  const boost::json::value* member =
      object.if_contains({name.data(), name.size()});
  if (member == nullptr || !member->is_string()) {
    return std::string(fallback);
  }
  const boost::json::string& text = member->get_string();
  return {text.data(), text.size()};
}

int64_t NumberMember(const boost::json::object& object,
                     std::string_view name,
                     int64_t fallback) {
  const boost::json::value* member =
      object.if_contains({name.data(), name.size()});
  if (member == nullptr) {
    return fallback;
  }
  boost::system::error_code error;
  const auto number = member->to_number<int64_t>(error);
  return error ? fallback : number;
}

bool BoolMember(const boost::json::object& object,
                std::string_view name,
                bool fallback) {
  const boost::json::value* member =
      object.if_contains({name.data(), name.size()});
  return member != nullptr && member->is_bool() ? member->get_bool() : fallback;
}

HttpResponse JsonResponse(unsigned status, const boost::json::value& body) {
  HttpResponse response;
  response.status = status;
  response.body = boost::json::serialize(body);
  return response;
}

HttpResponse ErrorResponse(unsigned status, const core::Error& error) {
  const std::string code = core::ErrorCode(error.id);
  return JsonResponse(status, {{"error",
                                {{"code", code},
                                 {"subject", error.subject},
                                 {"detail", error.detail}}}});
}

}  // namespace coppervalve::standin
