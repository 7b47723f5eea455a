#include <CppUTest/TestHarness.h>

#include <algorithm>  // any_of
#include <string>     // string
#include <variant>    // get, get_if

#include "coppervalve/config/check.h"
#include "coppervalve/config/diff.h"
#include "coppervalve/config/json.h"
#include "coppervalve/config/parse.h"

using namespace coppervalve;
using core::ErrorId;

namespace {

constexpr const char* kValidFile = R"({
  "name": "castle",
  "accounts": [
    {"id": "tours", "budget": "sales", "api_key_sha256":
      ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]},
    {"id": "gate", "budget": "support"}
  ],
  "budgets": [
    {"id": "sales", "account": "tours", "prepaid_tokens": 1000},
    {"id": "support", "account": "gate", "prepaid_tokens": "2000"}
  ],
  "upstreams": [
    {"id": "e1", "kind": "MODEL_ENGINE", "address": "10.0.0.1:80",
     "failure_domain": "fd-a", "models": ["small"]},
    {"id": "s1", "kind": "PLAIN_SERVICE", "address": "10.0.0.2:80",
     "failure_domain": "fd-b", "service": "seats"}
  ],
  "rules": [
    {"id": "chat", "when": {"accounts": ["gate"], "models": ["small"]},
     "then": {"route": {"admission_class": "GATE", "upstreams": ["e1"]}}},
    {"id": "rest", "then": {"refuse": {"reason": "no such work"}}}
  ]
})";

config::Findings FindingsOf(const std::string& json) {
  const config::ParseResult result = config::ParseOperatorsFile(json);
  const auto* findings = std::get_if<config::Findings>(&result);
  return findings != nullptr ? *findings : config::Findings{};
}

// Returns the valid file with one text replaced by another.
std::string With(const std::string& from, const std::string& to) {
  std::string json = kValidFile;
  const size_t at = json.find(from);
  CHECK(at != std::string::npos);
  return json.replace(at, from.size(), to);
}

// Returns the valid file with one more rule before the last one.
std::string WithRule(const std::string& when) {
  return With(R"({"id": "rest")", R"({"id": "extra", "when": )" + when +
                                      R"(, "then": {"refuse": {"reason": "x"}}},
                                      {"id": "rest")");
}

void CheckFound(const std::string& json,
                ErrorId id,
                const std::string& subject) {
  const config::Findings findings = FindingsOf(json);
  const bool found =
      std::any_of(findings.begin(), findings.end(), [&](const auto& finding) {
        return finding.id == id && finding.subject == subject;
      });
  std::string all = "wanted " + core::ErrorCode(id) + " at " + subject;
  for (const core::Error& finding : findings) {
    all += "\n  found " + core::ToString(finding);
  }
  CHECK_TEXT(found, all.c_str());
}

v1::Configuration ValidConfiguration() {
  return std::get<v1::Configuration>(config::ParseOperatorsFile(kValidFile));
}

}  // namespace

// clang-format off
TEST_GROUP(Parse){};
TEST_GROUP(Reachability){};
TEST_GROUP(Successor){};
// clang-format on

TEST(Parse, a_valid_file_has_no_findings) {
  UNSIGNED_LONGS_EQUAL(0, FindingsOf(kValidFile).size());
  LONGS_EQUAL(2000, ValidConfiguration().budgets(1).prepaid_tokens());
}

TEST(Parse, canonical_json_reads_back_to_an_equal_configuration) {
  const v1::Configuration good = ValidConfiguration();
  const config::ParseResult again =
      config::ParseOperatorsFile(config::ToJson(good));
  const auto* read = std::get_if<v1::Configuration>(&again);
  CHECK(read != nullptr);
  CHECK(config::Diff(good, *read).empty());
}

TEST(Parse, a_syntax_error_names_its_line_and_column) {
  const config::Findings findings = FindingsOf("{\n  \"name\": x\n}");
  UNSIGNED_LONGS_EQUAL(1, findings.size());
  CHECK(findings[0].id == ErrorId::kConfigSyntax);
  STRCMP_CONTAINS("line 2, column 11", findings[0].detail.c_str());
  CheckFound(std::string(kValidFile) + "x", ErrorId::kConfigSyntax, "$");
  CheckFound("", ErrorId::kConfigSyntax, "$");
}

TEST(Parse, all_schema_findings_come_at_once_with_their_paths) {
  const std::string json = R"({"nme": "x", "limits": {"answer_keep_s": -1},
      "rules": [{"id": 3, "when": {"models": "small"}},
                {"then": {"route": {"admission_class": "FAST"}}}]})";
  CheckFound(json, ErrorId::kConfigUnknownField, "$.nme");
  CheckFound(json, ErrorId::kConfigBadValue, "$.limits.answer_keep_s");
  CheckFound(json, ErrorId::kConfigWrongType, "$.rules[0].id");
  CheckFound(json, ErrorId::kConfigWrongType, "$.rules[0].when.models");
  CheckFound(json, ErrorId::kConfigBadValue,
             "$.rules[1].then.route.admission_class");
}

TEST(Parse, a_name_given_twice_in_one_object_is_refused) {
  CheckFound(With(R"("prepaid_tokens": 1000)",
                  R"("prepaid_tokens": 1000, "prepaid_tokens": 9)"),
             ErrorId::kConfigDuplicateId, "$.budgets[0].prepaid_tokens");
}

TEST(Parse, nulls_fractions_and_quoted_small_numbers_are_wrong_types) {
  CheckFound(With("1000", "null"), ErrorId::kConfigWrongType,
             "$.budgets[0].prepaid_tokens");
  CheckFound(With("1000", "1e3"), ErrorId::kConfigWrongType,
             "$.budgets[0].prepaid_tokens");
  CheckFound(With(R"("name": "castle")",
                  R"("name": "castle", "limits": {"answer_keep_s": "5"})"),
             ErrorId::kConfigWrongType, "$.limits.answer_keep_s");
}

TEST(Parse, a_rule_with_both_route_and_refuse_is_refused) {
  CheckFound(With(R"({"refuse":)", R"({"route": {}, "refuse":)"),
             ErrorId::kConfigBadValue, "$.rules[1].then.refuse");
}

TEST(Parse, duplicate_ids_and_addresses_are_refused) {
  CheckFound(With(R"("id": "gate")", R"("id": "tours")"),
             ErrorId::kConfigDuplicateId, "$.accounts[1].id");
  CheckFound(With("10.0.0.2", "10.0.0.1"), ErrorId::kConfigDuplicateId,
             "$.upstreams[1].address");
  CheckFound(With(R"("id": "rest")", R"("id": "chat")"),
             ErrorId::kConfigDuplicateId, "$.rules[1].id");
}

TEST(Parse, missing_fields_are_refused) {
  CheckFound("{}", ErrorId::kConfigMissingField, "$.name");
  CheckFound(With(R"("admission_class": "GATE", )", ""),
             ErrorId::kConfigMissingField,
             "$.rules[0].then.route.admission_class");
  CheckFound(With(R"("kind": "MODEL_ENGINE", )", ""),
             ErrorId::kConfigMissingField, "$.upstreams[0].kind");
  CheckFound(With(R"(, "then": {"refuse": {"reason": "no such work"}})", ""),
             ErrorId::kConfigMissingField, "$.rules[1].then");
}

TEST(Parse, values_out_of_their_range_are_refused) {
  CheckFound(With("1000", "-1"), ErrorId::kConfigBadValue,
             "$.budgets[0].prepaid_tokens");
  CheckFound(With("1000", R"(1, "gate_reserve_permille": 1001)"),
             ErrorId::kConfigBadValue, "$.budgets[0].gate_reserve_permille");
  CheckFound(With("0123456789abcdef0123", "0123456789ABCDEF0123"),
             ErrorId::kConfigBadValue, "$.accounts[0].api_key_sha256[0]");
  for (const char* address : {"10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536",
                              "castle:80", "10.0.0.256:80", "[::1:80"}) {
    CheckFound(With("10.0.0.1:80", address), ErrorId::kConfigBadValue,
               "$.upstreams[0].address");
  }
  UNSIGNED_LONGS_EQUAL(0, FindingsOf(With("10.0.0.1:80", "[::1]:80")).size());
}

TEST(Parse, unknown_references_are_refused) {
  CheckFound(With(R"("budget": "sales")", R"("budget": "x")"),
             ErrorId::kConfigUnknownReference, "$.accounts[0].budget");
  CheckFound(With(R"("account": "gate")", R"("account": "x")"),
             ErrorId::kConfigUnknownReference, "$.budgets[1].account");
  CheckFound(With(R"(["gate"])", R"(["x"])"), ErrorId::kConfigUnknownReference,
             "$.rules[0].when.accounts[0]");
  CheckFound(With(R"("models": ["small"]})", R"("models": ["x"]})"),
             ErrorId::kConfigUnknownReference, "$.rules[0].when.models[0]");
  CheckFound(With(R"("upstreams": ["e1"])", R"("upstreams": ["e1", "x"])"),
             ErrorId::kConfigUnknownReference,
             "$.rules[0].then.route.upstreams[1]");
  CheckFound(WithRule(R"({"services": ["x"]})"),
             ErrorId::kConfigUnknownReference, "$.rules[1].when.services[0]");
}

TEST(Parse, a_listed_upstream_that_serves_nothing_of_the_rule_is_refused) {
  CheckFound(With(R"("upstreams": ["e1"])", R"("upstreams": ["s1"])"),
             ErrorId::kConfigBadValue, "$.rules[0].then.route.upstreams[0]");
}

TEST(Parse, a_file_past_the_size_limit_is_refused) {
  CheckFound(std::string((size_t{8} << 20U) + 1, ' '), ErrorId::kConfigTooLarge,
             "$");
}

TEST(Reachability, a_rule_behind_a_more_general_one_is_refused) {
  for (const char* when :
       {R"({"accounts": ["gate"], "models": ["small"]})",
        R"({"accounts": ["gate"], "models": ["small"], "methods": ["POST"]})",
        R"({"accounts": ["gate"], "models": ["small"],
            "time_window": {"from_minute": 5, "until_minute": 9}})"}) {
    CheckFound(WithRule(when), ErrorId::kConfigUnreachableRule, "$.rules[1]");
  }
}

TEST(Reachability, a_rule_that_lists_every_account_restricts_nothing) {
  const std::string json =
      With(R"({"id": "rest")",
           R"({"id": "all", "when": {"accounts": ["tours", "gate"]},
          "then": {"refuse": {"reason": "x"}}}, {"id": "rest")");
  CheckFound(json, ErrorId::kConfigUnreachableRule, "$.rules[2]");
}

TEST(Reachability, windows_prefixes_and_headers_are_compared_as_sets) {
  const auto two_rules = [](const std::string& first,
                            const std::string& second) {
    return WithRule(first + R"(, "then": {"refuse": {"reason": "x"}}},
                    {"id": "extra2", "when": )" +
                    second);
  };
  const std::string night =
      R"({"time_window": {"from_minute": 1380, "until_minute": 60}})";
  const auto window = [](const std::string& from, const std::string& until) {
    return R"({"time_window": {"from_minute": )" + from +
           R"(, "until_minute": )" + until + "}}";
  };
  CheckFound(two_rules(night, window("1400", "30")),
             ErrorId::kConfigUnreachableRule, "$.rules[2]");
  UNSIGNED_LONGS_EQUAL(
      0, FindingsOf(two_rules(night, window("1400", "61"))).size());
  CheckFound(two_rules(R"({"path_prefixes": ["/v1/"]})",
                       R"({"path_prefixes": ["/v1/chat", "/v1/x"]})"),
             ErrorId::kConfigUnreachableRule, "$.rules[2]");
  CheckFound(two_rules(R"({"headers": [{"name": "X-A"}]})",
                       R"({"headers": [{"name": "x-a", "equals": "1"}]})"),
             ErrorId::kConfigUnreachableRule, "$.rules[2]");
  UNSIGNED_LONGS_EQUAL(
      0,
      FindingsOf(two_rules(R"({"headers": [{"name": "x-a", "equals": "1"}]})",
                           R"({"headers": [{"name": "X-A"}]})"))
          .size());
}

TEST(Reachability, conditions_that_exclude_each_other_are_refused) {
  for (const char* when :
       {R"({"models": ["small"], "services": ["seats"]})",
        R"({"min_prompt_bytes": 9, "max_prompt_bytes": 8})",
        R"({"time_window": {"from_minute": 9, "until_minute": 9}})"}) {
    CheckFound(WithRule(when), ErrorId::kConfigUnreachableRule,
               "$.rules[1].when");
  }
}

TEST(Successor, prepaid_tokens_may_grow_but_not_shrink_vanish_or_move) {
  const v1::Configuration older = ValidConfiguration();
  v1::Configuration newer = older;
  newer.mutable_budgets(0)->set_prepaid_tokens(1001);
  CHECK(core::IsOk(config::CheckSuccessor(older, newer)));
  newer.mutable_budgets(0)->set_prepaid_tokens(999);
  STRCMP_EQUAL(
      "$.budgets[0].prepaid_tokens",
      core::Failure(config::CheckSuccessor(older, newer)).subject.c_str());
  newer.mutable_budgets()->DeleteSubrange(0, 1);
  CHECK(!core::IsOk(config::CheckSuccessor(older, newer)));
  newer = older;
  newer.mutable_budgets(0)->set_account("gate");
  CHECK(!core::IsOk(config::CheckSuccessor(older, newer)));
}

TEST(Successor, a_diff_pairs_items_by_id_and_names_a_changed_order) {
  const v1::Configuration older = ValidConfiguration();
  v1::Configuration newer = older;
  newer.mutable_budgets(1)->set_prepaid_tokens(3000);
  newer.mutable_rules()->SwapElements(0, 1);
  newer.mutable_accounts()->DeleteSubrange(1, 1);
  const std::vector<config::Change> changes = config::Diff(older, newer);
  UNSIGNED_LONGS_EQUAL(3, changes.size());
  CHECK((changes[0] == config::Change{"$.accounts[id=gate]",
                                      R"({"id":"gate","budget":"support"})",
                                      ""}));
  CHECK((changes[1] == config::Change{"$.budgets[id=support].prepaid_tokens",
                                      "2000", "3000"}));
  CHECK((changes[2] == config::Change{"$.rules", R"(["chat", "rest"])",
                                      R"(["rest", "chat"])"}));
}
