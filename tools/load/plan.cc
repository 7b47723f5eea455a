#include "tools/load/plan.h"

#include <boost/json/array.hpp>
#include <optional>  // optional

#include "tools/load/json.h"

namespace coppervalve::load {

namespace {

namespace json = boost::json;
using core::ErrorId;
using core::Tokens;
using std::chrono::milliseconds;

constexpr int64_t kBytesPerToken = 4;
constexpr int64_t kDefaultTokens = 32;
constexpr int64_t kDefaultPromptBytes = 400;
constexpr int64_t kDefaultRequestTimeoutMs = 30'000;
constexpr int64_t kDefaultMaxSeconds = 60;
constexpr int64_t kDefaultAttempts = 10;
constexpr int64_t kDefaultCallers = 6;
constexpr int64_t kMillis = 1'000;

core::Result<ClassPlan> ReadClass(const json::object& object) {
  ClassPlan plan;
  plan.name = StringMember(object, "name");
  plan.account = StringMember(object, "account");
  plan.api_key = StringMember(object, "api_key");
  plan.model = StringMember(object, "model");
  plan.service = StringMember(object, "service");
  plan.path = StringMember(object, "path");
  const std::string method = StringMember(object, "method");
  if (!method.empty()) {
    plan.method = method;
  }
  plan.stream = BoolMember(object, "stream");
  plan.non_idempotent = BoolMember(object, "non_idempotent");
  plan.max_tokens = Tokens(NumberMember(object, "max_tokens", kDefaultTokens));
  plan.prompt_bytes = static_cast<size_t>(
      NumberMember(object, "prompt_bytes", kDefaultPromptBytes));
  plan.requests = static_cast<size_t>(NumberMember(object, "requests"));
  plan.max_attempts = static_cast<size_t>(
      NumberMember(object, "max_attempts", kDefaultAttempts));
  plan.callers =
      static_cast<size_t>(NumberMember(object, "callers", kDefaultCallers));
  plan.request_timeout = milliseconds(
      NumberMember(object, "patience_ms", kDefaultRequestTimeoutMs));
  if (const json::value* rate = object.if_contains("rate_per_s")) {
    plan.rate_per_s = rate->is_number() ? rate->to_number<double>() : 0;
  }
  if (plan.name.empty() || plan.account.empty() || plan.api_key.empty()) {
    return core::Error{ErrorId::kConfigMissingField, plan.name,
                       "name, account and api_key are required"};
  }
  if (plan.model.empty() == plan.service.empty()) {
    return core::Error{ErrorId::kConfigMissingField, plan.name,
                       "exactly one of model and service is required"};
  }
  if (plan.rate_per_s <= 0 || plan.callers == 0) {
    return core::Error{ErrorId::kConfigBadValue, plan.name,
                       "rate_per_s and callers must be above 0"};
  }
  return plan;
}

}  // namespace

Tokens ClassPlan::Cost() const {
  if (model.empty()) {
    return Tokens(1);
  }
  const auto bytes = static_cast<int64_t>(prompt_bytes);
  return Tokens((bytes + kBytesPerToken - 1) / kBytesPerToken) + max_tokens;
}

core::Result<LoadPlan> ReadPlan(const std::string& path) {
  const core::Result<json::value> read = ReadJsonFile(path);
  if (!core::IsOk(read)) {
    return core::Failure(read);
  }
  const json::object* document = core::Value(read).if_object();
  const json::array* routers =
      document == nullptr ? nullptr : ArrayMember(*document, "routers");
  const json::array* classes =
      document == nullptr ? nullptr : ArrayMember(*document, "classes");
  if (routers == nullptr || classes == nullptr) {
    return core::Error{ErrorId::kConfigMissingField, path,
                       "routers and classes are required"};
  }
  LoadPlan plan;
  plan.max_time = milliseconds(
      NumberMember(*document, "max_seconds", kDefaultMaxSeconds) * kMillis);
  for (const json::value& router : *routers) {
    if (router.is_string()) {
      plan.routers.emplace_back(router.get_string().c_str());
    }
  }
  for (const json::value& item : *classes) {
    if (!item.is_object()) {
      return core::Error{ErrorId::kConfigWrongType, path, "classes"};
    }
    core::Result<ClassPlan> one = ReadClass(item.get_object());
    if (!core::IsOk(one)) {
      return core::Failure(one);
    }
    plan.classes.push_back(core::TakeValue(std::move(one)));
  }
  return plan;
}

}  // namespace coppervalve::load
