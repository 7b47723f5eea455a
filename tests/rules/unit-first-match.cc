#include <CppUTest/TestHarness.h>

#include <string>   // string
#include <utility>  // pair
#include <variant>  // get_if, holds_alternative
#include <vector>   // vector

#include "coppervalve/rules/rule_set.h"

using namespace coppervalve;

namespace {

using Headers = std::vector<std::pair<std::string, std::string>>;

void AddEngine(v1::Configuration& configuration,
               const std::string& id,
               const std::string& model) {
  v1::Upstream& engine = *configuration.add_upstreams();
  engine.set_id(id);
  engine.set_kind(v1::MODEL_ENGINE);
  engine.add_models(model);
}

v1::Rule& AddRoute(v1::Configuration& configuration, const std::string& id) {
  v1::Rule& rule = *configuration.add_rules();
  rule.set_id(id);
  rule.mutable_then()->mutable_route()->set_admission_class(v1::BATCH);
  return rule;
}

rules::RequestFacts FactsOf(const std::string& account,
                            const std::string& model) {
  rules::RequestFacts facts;
  facts.account = core::AccountId(account);
  facts.model = core::ModelId(model);
  facts.method = "POST";
  facts.path = "/v1/completions";
  return facts;
}

std::string RuleOf(const rules::Decision& decision) {
  if (const auto* route = std::get_if<rules::Route>(&decision)) {
    return route->rule.value();
  }
  if (const auto* refused = std::get_if<rules::Refused>(&decision)) {
    return refused->rule.value();
  }
  return "none";
}

}  // namespace

// clang-format off
TEST_GROUP(FirstMatch){
  v1::Configuration m_configuration;

  std::string Match(const rules::RequestFacts& facts) const {
    return RuleOf(rules::RuleSet(m_configuration).Match(facts));
  }
};
// clang-format on

TEST(FirstMatch, the_first_of_two_matching_rules_decides) {
  AddRoute(m_configuration, "any");
  AddRoute(m_configuration, "tours").mutable_when()->add_accounts("tours");
  STRCMP_EQUAL("any", Match(FactsOf("tours", "m")).c_str());

  m_configuration.mutable_rules()->SwapElements(0, 1);
  STRCMP_EQUAL("tours", Match(FactsOf("tours", "m")).c_str());
  STRCMP_EQUAL("any", Match(FactsOf("chat", "m")).c_str());
}

TEST(FirstMatch, a_request_that_no_rule_matches_gets_no_match) {
  AddRoute(m_configuration, "tours").mutable_when()->add_accounts("tours");
  STRCMP_EQUAL("none", Match(FactsOf("chat", "m")).c_str());
}

TEST(FirstMatch, a_window_may_wrap_around_midnight) {
  v1::TimeWindow& window =
      *AddRoute(m_configuration, "night").mutable_when()->mutable_time_window();
  window.set_from_minute(1380);
  window.set_until_minute(60);
  rules::RequestFacts facts = FactsOf("a", "m");
  for (const uint32_t inside : {1380U, 1439U, 0U, 59U}) {
    facts.minute_of_day = inside;
    STRCMP_EQUAL("night", Match(facts).c_str());
  }
  for (const uint32_t outside : {60U, 720U, 1379U}) {
    facts.minute_of_day = outside;
    STRCMP_EQUAL("none", Match(facts).c_str());
  }
}

TEST(FirstMatch, a_header_name_matches_in_any_case_and_its_value_exactly) {
  v1::HeaderMatch& header =
      *AddRoute(m_configuration, "urgent").mutable_when()->add_headers();
  header.set_name("X-Urgent");
  header.set_equals("yes");
  const Headers right = {{"x-other", "yes"}, {"x-urgent", "yes"}};
  const Headers wrong = {{"x-urgent", "Yes"}};
  rules::RequestFacts facts = FactsOf("a", "m");
  facts.headers = right;
  STRCMP_EQUAL("urgent", Match(facts).c_str());
  facts.headers = wrong;
  STRCMP_EQUAL("none", Match(facts).c_str());
}

TEST(FirstMatch, prompt_bounds_are_inclusive_and_the_output_bound_is_not) {
  v1::When& when = *AddRoute(m_configuration, "sized").mutable_when();
  when.set_min_prompt_bytes(10);
  when.set_max_prompt_bytes(20);
  when.set_max_output_tokens_over(100);
  rules::RequestFacts facts = FactsOf("a", "m");
  facts.prompt = core::Bytes(10);
  facts.max_output_tokens = core::Tokens(101);
  STRCMP_EQUAL("sized", Match(facts).c_str());
  facts.prompt = core::Bytes(20);
  STRCMP_EQUAL("sized", Match(facts).c_str());
  facts.prompt = core::Bytes(21);
  STRCMP_EQUAL("none", Match(facts).c_str());
  facts.prompt = core::Bytes(20);
  facts.max_output_tokens = core::Tokens(100);
  STRCMP_EQUAL("none", Match(facts).c_str());
}

TEST(FirstMatch, a_route_applies_the_defaults_of_its_class_and_the_limits) {
  m_configuration.mutable_limits()->set_max_output_tokens(1000);
  v1::Route& route =
      *AddRoute(m_configuration, "r").mutable_then()->mutable_route();
  route.set_admission_class(v1::GATE);
  route.set_max_output_tokens(5000);
  const rules::Decision decision =
      rules::RuleSet(m_configuration).Match(FactsOf("a", "m"));
  const auto* decided = std::get_if<rules::Route>(&decision);
  CHECK(decided != nullptr);
  CHECK(decided->max_queue == std::chrono::seconds(2));
  CHECK(decided->max_output_tokens == core::Tokens(1000));
  CHECK(decided->max_attempts == config::kDefaultMaxAttempts);
}

TEST(FirstMatch, candidates_are_the_listed_upstreams_that_serve_the_model) {
  AddEngine(m_configuration, "e1", "small");
  AddEngine(m_configuration, "e2", "large");
  AddEngine(m_configuration, "e3", "small");
  v1::Route& listed =
      *AddRoute(m_configuration, "listed").mutable_then()->mutable_route();
  listed.add_upstreams("e3");
  listed.add_upstreams("e2");
  m_configuration.mutable_rules(0)->mutable_when()->add_accounts("a");
  AddRoute(m_configuration, "all");
  const rules::RuleSet rule_set(m_configuration);

  const auto candidates = [&](const std::string& account) {
    const rules::Decision decision = rule_set.Match(FactsOf(account, "small"));
    return *std::get<rules::Route>(decision).candidates;
  };
  CHECK(candidates("a") == config::UpstreamIds{core::UpstreamId("e3")});
  CHECK((candidates("b") ==
         config::UpstreamIds{core::UpstreamId("e1"), core::UpstreamId("e3")}));
}

TEST(FirstMatch, a_refusal_carries_its_reason_and_retry_after) {
  v1::Rule& rule = *m_configuration.add_rules();
  rule.set_id("closed");
  rule.mutable_then()->mutable_refuse()->set_reason("closed for the season");
  rule.mutable_then()->mutable_refuse()->set_retry_after_s(60);
  const rules::Decision decision =
      rules::RuleSet(m_configuration).Match(FactsOf("a", "m"));
  const auto* refused = std::get_if<rules::Refused>(&decision);
  CHECK(refused != nullptr);
  STRCMP_EQUAL("closed for the season", refused->reason.c_str());
  CHECK(refused->retry_after == core::Duration(std::chrono::seconds(60)));
}
