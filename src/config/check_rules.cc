#include <algorithm>  // any_of

#include "semantic_checks.h"
#include "values.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;
using StringList = google::protobuf::RepeatedPtrField<std::string>;

constexpr int64_t kMaxPromptBytes = 1'000'000'000;
constexpr int64_t kMaxOutputTokens = 10'000'000;
constexpr int64_t kMaxQueueMs = 3'600'000;
constexpr int64_t kMaxAttempts = 10;
constexpr int64_t kMaxRetryAfterS = 86'400;
constexpr int64_t kMinutesOfDay = 1440;
constexpr size_t kMaxReasonSize = 200;

// Calls check(text, path) for each string and reports duplicates.
template <typename Check>
void CheckList(const StringList& list,
               const std::string& path,
               Report& report,
               Check check) {
  std::unordered_map<std::string, std::string> seen;
  for (int i = 0; i < list.size(); ++i) {
    const std::string item_path = ItemPath(path, static_cast<size_t>(i));
    report.CheckUnique(list.Get(i), item_path, seen);
    check(list.Get(i), item_path);
  }
}

void CheckReferences(const StringList& list,
                     const std::string& path,
                     const std::unordered_set<std::string>& known,
                     const std::string& kind,
                     Report& report) {
  CheckList(list, path, report,
            [&](const std::string& id, const std::string& item_path) {
              if (!known.contains(id)) {
                report.Add(ErrorId::kConfigUnknownReference, item_path,
                           "no " + kind + " '" + id + "'");
              }
            });
}

void CheckFormats(const StringList& list,
                  const std::string& path,
                  bool (*is_valid)(std::string_view),
                  const std::string& expected,
                  Report& report) {
  CheckList(list, path, report,
            [&](const std::string& text, const std::string& item_path) {
              if (!is_valid(text)) {
                report.Add(ErrorId::kConfigBadValue, item_path, expected);
              }
            });
}

bool IsPathPrefix(std::string_view text) {
  return text.starts_with('/') && IsPrintable(text);
}

void CheckHeaders(const v1::When& when,
                  const std::string& path,
                  Report& report) {
  for (int i = 0; i < when.headers_size(); ++i) {
    const std::string item_path =
        ItemPath(path + ".headers", static_cast<size_t>(i));
    const std::string& name = when.headers(i).name();
    if (report.CheckPresent(name, item_path + ".name") && !IsHeaderName(name)) {
      report.Add(ErrorId::kConfigBadValue, item_path + ".name",
                 "not a valid header name");
    }
    if (!IsPrintable(when.headers(i).equals())) {
      report.Add(ErrorId::kConfigBadValue, item_path + ".equals",
                 "not printable ASCII");
    }
  }
}

void CheckWhen(const v1::When& when,
               const std::string& path,
               const DefinedNames& names,
               Report& report) {
  CheckReferences(when.accounts(), path + ".accounts", names.accounts,
                  "account", report);
  CheckReferences(when.models(), path + ".models", names.models, "model",
                  report);
  CheckReferences(when.services(), path + ".services", names.services,
                  "service", report);
  CheckFormats(when.path_prefixes(), path + ".path_prefixes", IsPathPrefix,
               "a path starts with / and is printable ASCII", report);
  CheckFormats(when.methods(), path + ".methods", IsMethod,
               "a method is written in upper-case letters", report);
  CheckHeaders(when, path, report);
  report.CheckRange(when.min_prompt_bytes(), 0, kMaxPromptBytes,
                    path + ".min_prompt_bytes");
  report.CheckRange(when.max_prompt_bytes(), 0, kMaxPromptBytes,
                    path + ".max_prompt_bytes");
  report.CheckRange(when.max_output_tokens_over(), 0, kMaxOutputTokens,
                    path + ".max_output_tokens_over");
  report.CheckRange(when.time_window().from_minute(), 0, kMinutesOfDay - 1,
                    path + ".time_window.from_minute");
  report.CheckRange(when.time_window().until_minute(), 0, kMinutesOfDay,
                    path + ".time_window.until_minute");
}

template <typename Wanted>
bool Intersects(const Wanted& wanted, const StringList& served) {
  return std::any_of(served.begin(), served.end(), [&](const auto& one) {
    return std::find(wanted.begin(), wanted.end(), one) != wanted.end();
  });
}

bool ServesAny(const v1::Upstream& upstream, const v1::When& when) {
  if (when.models().empty() && when.services().empty()) {
    return true;
  }
  return Intersects(when.models(), upstream.models()) ||
         std::find(when.services().begin(), when.services().end(),
                   upstream.service()) != when.services().end();
}

void CheckCandidates(const v1::Rule& rule,
                     const std::string& path,
                     const DefinedNames& names,
                     Report& report) {
  CheckList(rule.then().route().upstreams(), path, report,
            [&](const std::string& id, const std::string& item_path) {
              const auto found = names.upstreams.find(id);
              if (found == names.upstreams.end()) {
                report.Add(ErrorId::kConfigUnknownReference, item_path,
                           "no upstream '" + id + "'");
              } else if (!ServesAny(*found->second, rule.when())) {
                report.Add(
                    ErrorId::kConfigBadValue, item_path,
                    "'" + id + "' serves no model or service named in `when`");
              }
            });
}

void CheckRoute(const v1::Rule& rule,
                const std::string& path,
                const DefinedNames& names,
                Report& report) {
  const v1::Route& route = rule.then().route();
  CheckCandidates(rule, path + ".upstreams", names, report);
  if (route.admission_class() == v1::ADMISSION_CLASS_UNSPECIFIED) {
    report.Add(ErrorId::kConfigMissingField, path + ".admission_class",
               "GATE, INTERACTIVE or BATCH");
  }
  report.CheckRange(route.max_output_tokens(), 0, kMaxOutputTokens,
                    path + ".max_output_tokens");
  report.CheckRange(route.max_queue_ms(), 0, kMaxQueueMs,
                    path + ".max_queue_ms");
  report.CheckRange(route.max_attempts(), 0, kMaxAttempts,
                    path + ".max_attempts");
}

void CheckRefuse(const v1::Refuse& refuse,
                 const std::string& path,
                 Report& report) {
  if (report.CheckPresent(refuse.reason(), path + ".reason") &&
      (refuse.reason().size() > kMaxReasonSize ||
       !IsPrintable(refuse.reason()))) {
    report.Add(ErrorId::kConfigBadValue, path + ".reason",
               "at most 200 characters of printable ASCII");
  }
  report.CheckRange(refuse.retry_after_s(), 0, kMaxRetryAfterS,
                    path + ".retry_after_s");
}

}  // namespace

void CheckRules(const v1::Configuration& configuration,
                const DefinedNames& names,
                Report& report) {
  std::unordered_map<std::string, std::string> ids;
  for (int i = 0; i < configuration.rules_size(); ++i) {
    const v1::Rule& rule = configuration.rules(i);
    const std::string path = ItemPath("$.rules", static_cast<size_t>(i));
    report.CheckUniqueId(rule.id(), path + ".id", ids);
    CheckWhen(rule.when(), path + ".when", names, report);
    if (rule.then().has_route()) {
      CheckRoute(rule, path + ".then.route", names, report);
    } else if (rule.then().has_refuse()) {
      CheckRefuse(rule.then().refuse(), path + ".then.refuse", report);
    } else {
      report.Add(ErrorId::kConfigMissingField, path + ".then",
                 "needs route or refuse");
    }
  }
}

}  // namespace coppervalve::config
