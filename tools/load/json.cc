#include "tools/load/json.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>   // ifstream, ofstream
#include <iterator>  // istreambuf_iterator

namespace coppervalve::load {

namespace {

namespace json = boost::json;
using core::ErrorId;

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

std::optional<json::value> ParseJson(std::string_view text) {
  boost::system::error_code error;
  json::value value = json::parse(View(text), error);
  if (error) {
    return std::nullopt;
  }
  return value;
}

core::Result<json::value> ReadJsonFile(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return core::Error{ErrorId::kSettingBadValue, path, "can't be read"};
  }
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  std::optional<json::value> value = ParseJson(text);
  if (!value) {
    return core::Error{ErrorId::kMalformedJson, path, ""};
  }
  return *std::move(value);
}

core::Status WriteJsonFile(const std::string& path,
                           const json::value& document) {
  std::ofstream stream(path);
  stream << json::serialize(document) << '\n' << std::flush;
  if (!stream) {
    return core::Error{ErrorId::kSettingBadValue, path, "can't be written"};
  }
  return core::Ok();
}

std::string StringMember(const json::object& object, std::string_view name) {
  const json::value* member = object.if_contains(View(name));
  if (member == nullptr || !member->is_string()) {
    return {};
  }
  const json::string& text = member->get_string();
  return {text.data(), text.size()};
}

int64_t NumberMember(const json::object& object,
                     std::string_view name,
                     int64_t fallback) {
  const json::value* member = object.if_contains(View(name));
  if (member == nullptr || !member->is_number()) {
    return fallback;
  }
  boost::system::error_code error;
  const auto number = member->to_number<int64_t>(error);
  return error ? fallback : number;
}

bool BoolMember(const json::object& object, std::string_view name) {
  const json::value* member = object.if_contains(View(name));
  return member != nullptr && member->is_bool() && member->get_bool();
}

const json::object* ObjectMember(const json::object& object,
                                 std::string_view name) {
  const json::value* member = object.if_contains(View(name));
  return member == nullptr ? nullptr : member->if_object();
}

const json::array* ArrayMember(const json::object& object,
                               std::string_view name) {
  const json::value* member = object.if_contains(View(name));
  return member == nullptr ? nullptr : member->if_array();
}

}  // namespace coppervalve::load
