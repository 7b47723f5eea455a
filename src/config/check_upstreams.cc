#include "semantic_checks.h"
#include "values.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;

constexpr int64_t kMaxConcurrency = 100'000;
constexpr int64_t kMaxPricePermille = 1'000'000;
constexpr int64_t kMaxCallCost = 1'000'000'000;

void CheckEngine(const v1::Upstream& upstream,
                 const std::string& path,
                 Report& report) {
  if (upstream.models().empty()) {
    report.Add(ErrorId::kConfigMissingField, path + ".models",
               "a MODEL_ENGINE names at least one model");
  }
  std::unordered_map<std::string, std::string> models;
  for (int i = 0; i < upstream.models_size(); ++i) {
    const std::string& model = upstream.models(i);
    const std::string model_path =
        ItemPath(path + ".models", static_cast<size_t>(i));
    if (!IsModelName(model)) {
      report.Add(ErrorId::kConfigBadValue, model_path,
                 "not a valid model name: 1 to 128 of A-Z a-z 0-9 . _ - : /");
      continue;
    }
    report.CheckUnique(model, model_path, models);
  }
  const auto check_absent = [&](bool absent, const char* field) {
    if (!absent) {
      report.Add(ErrorId::kConfigBadValue, path + field,
                 "only for a PLAIN_SERVICE");
    }
  };
  check_absent(upstream.service().empty(), ".service");
  check_absent(!upstream.repeatable(), ".repeatable");
  check_absent(upstream.call_cost_tokens() == 0, ".call_cost_tokens");
}

void CheckService(const v1::Upstream& upstream,
                  const std::string& path,
                  Report& report) {
  if (report.CheckPresent(upstream.service(), path + ".service") &&
      !IsId(upstream.service())) {
    report.Add(ErrorId::kConfigBadValue, path + ".service", "not an id");
  }
  if (!upstream.models().empty()) {
    report.Add(ErrorId::kConfigBadValue, path + ".models",
               "only for a MODEL_ENGINE");
  }
  if (upstream.checks_fencing()) {
    report.Add(ErrorId::kConfigBadValue, path + ".checks_fencing",
               "only for a MODEL_ENGINE");
  }
  report.CheckRange(upstream.call_cost_tokens(), 0, kMaxCallCost,
                    path + ".call_cost_tokens");
}

void CheckKind(const v1::Upstream& upstream,
               const std::string& path,
               Report& report) {
  switch (upstream.kind()) {
    case v1::MODEL_ENGINE:
      CheckEngine(upstream, path, report);
      return;
    case v1::PLAIN_SERVICE:
      CheckService(upstream, path, report);
      return;
    default:
      report.Add(ErrorId::kConfigMissingField, path + ".kind",
                 "MODEL_ENGINE or PLAIN_SERVICE");
  }
}

void CheckAddress(const v1::Upstream& upstream,
                  const std::string& path,
                  std::unordered_map<std::string, std::string>& addresses,
                  Report& report) {
  if (!report.CheckPresent(upstream.address(), path)) {
    return;
  }
  if (!IsAddress(upstream.address())) {
    report.Add(ErrorId::kConfigBadValue, path,
               "'" + upstream.address() + "' is not ip:port");
    return;
  }
  // Two upstreams with one address would double the limit on requests in
  // progress there.
  report.CheckUnique(upstream.address(), path, addresses);
}

}  // namespace

void CheckUpstreams(const v1::Configuration& configuration, Report& report) {
  std::unordered_map<std::string, std::string> ids;
  std::unordered_map<std::string, std::string> addresses;
  for (int i = 0; i < configuration.upstreams_size(); ++i) {
    const v1::Upstream& upstream = configuration.upstreams(i);
    const std::string path = ItemPath("$.upstreams", static_cast<size_t>(i));
    report.CheckUniqueId(upstream.id(), path + ".id", ids);
    CheckAddress(upstream, path + ".address", addresses, report);
    const std::string domain_path = path + ".failure_domain";
    if (report.CheckPresent(upstream.failure_domain(), domain_path) &&
        !IsId(upstream.failure_domain())) {
      report.Add(ErrorId::kConfigBadValue, domain_path, "not an id");
    }
    report.CheckRange(upstream.max_concurrency(), 0, kMaxConcurrency,
                      path + ".max_concurrency");
    report.CheckRange(upstream.price_permille(), 0, kMaxPricePermille,
                      path + ".price_permille");
    CheckKind(upstream, path, report);
  }
}

}  // namespace coppervalve::config
