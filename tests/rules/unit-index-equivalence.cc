#include <CppUTest/TestHarness.h>

#include <algorithm>  // any_of
#include <random>     // mt19937_64
#include <string>     // string
#include <utility>    // pair
#include <variant>    // get_if
#include <vector>     // vector

#include "coppervalve/rules/rule_set.h"

using namespace coppervalve;

namespace {

constexpr int kSeeds = 60;
constexpr int kRules = 80;
constexpr int kRequests = 200;

using Random = std::mt19937_64;
using Headers = std::vector<std::pair<std::string, std::string>>;

uint32_t Below(Random& random, uint32_t bound) {
  return static_cast<uint32_t>(random() % bound);
}

std::string Name(const char* stem, uint32_t number) {
  return stem + std::to_string(number);
}

v1::When RandomWhen(Random& random) {
  v1::When when;
  for (uint32_t i = Below(random, 3); i > 0; --i) {
    when.add_accounts(Name("a", Below(random, 6)));
  }
  // Rules with many models exceed the maximum number of index entries per rule.
  const uint32_t models = Below(random, 8) == 0 ? 70 : Below(random, 2);
  for (uint32_t i = 0; i < models; ++i) {
    when.add_models(Name("m", Below(random, 80)));
  }
  if (models == 0 && Below(random, 3) == 0) {
    when.add_services(Name("s", Below(random, 3)));
  }
  if (Below(random, 3) == 0) {
    when.add_path_prefixes(Below(random, 2) == 0 ? "/v1/" : "/seats");
  }
  if (Below(random, 4) == 0) {
    v1::HeaderMatch& header = *when.add_headers();
    header.set_name("X-Kind");
    header.set_equals(Below(random, 2) == 0 ? "" : "gate");
  }
  if (Below(random, 3) == 0) {
    when.set_min_prompt_bytes(Below(random, 50));
    when.set_max_prompt_bytes(Below(random, 100));
  }
  if (Below(random, 4) == 0) {
    when.set_max_output_tokens_over(Below(random, 100));
  }
  if (Below(random, 3) == 0) {
    when.mutable_time_window()->set_from_minute(Below(random, 1440));
    when.mutable_time_window()->set_until_minute(Below(random, 1441));
  }
  if (Below(random, 4) == 0) {
    when.add_methods(Below(random, 2) == 0 ? "GET" : "POST");
  }
  return when;
}

v1::Configuration RandomRules(Random& random) {
  v1::Configuration configuration;
  for (uint32_t i = 0; i < kRules; ++i) {
    v1::Rule& rule = *configuration.add_rules();
    rule.set_id(Name("r", i));
    *rule.mutable_when() = RandomWhen(random);
    rule.mutable_then()->mutable_refuse()->set_reason("x");
  }
  return configuration;
}

template <typename List>
bool EmptyOrContains(const List& list, std::string_view value) {
  return list.empty() ||
         std::any_of(list.begin(), list.end(),
                     [&](const std::string& item) { return item == value; });
}

bool WindowMatches(const v1::When& when, uint32_t minute) {
  if (!when.has_time_window()) {
    return true;
  }
  // Steps through the window minute by minute.
  uint32_t at = when.time_window().from_minute();
  while (at != when.time_window().until_minute()) {
    if (at == minute) {
      return true;
    }
    at = at >= 1440 ? 0 : at + 1;
  }
  return false;
}

bool HeadersMatch(const v1::When& when, const Headers& headers) {
  for (const v1::HeaderMatch& wanted : when.headers()) {
    bool found = false;
    for (const auto& [name, value] : headers) {
      found = found || (name == "x-kind" &&
                        (wanted.equals().empty() || wanted.equals() == value));
    }
    if (!found) {
      return false;
    }
  }
  return true;
}

// Evaluates the fields of the schema directly, without the compiled form.
bool MatchesBySchema(const v1::When& when,
                     const rules::RequestFacts& facts,
                     const Headers& headers) {
  bool path = when.path_prefixes().empty();
  for (const std::string& prefix : when.path_prefixes()) {
    path = path || facts.path.substr(0, prefix.size()) == prefix;
  }
  const int64_t size = facts.prompt.value();
  const bool size_matches =
      size >= when.min_prompt_bytes() &&
      (when.max_prompt_bytes() == 0 || size <= when.max_prompt_bytes());
  const bool output_matches =
      when.max_output_tokens_over() == 0 ||
      facts.max_output_tokens.value() > when.max_output_tokens_over();
  return EmptyOrContains(when.accounts(), facts.account.value()) &&
         EmptyOrContains(when.models(), facts.model.value()) &&
         EmptyOrContains(when.services(), facts.service.value()) &&
         EmptyOrContains(when.methods(), facts.method) && path &&
         size_matches && output_matches && HeadersMatch(when, headers) &&
         WindowMatches(when, facts.minute_of_day);
}

std::string RuleOf(const rules::Decision& decision) {
  const auto* refused = std::get_if<rules::Refused>(&decision);
  return refused != nullptr ? refused->rule.value() : "none";
}

std::string ExpectedRule(const v1::Configuration& configuration,
                         const rules::RequestFacts& facts,
                         const Headers& headers) {
  for (const v1::Rule& rule : configuration.rules()) {
    if (MatchesBySchema(rule.when(), facts, headers)) {
      return rule.id();
    }
  }
  return "none";
}

Headers RandomHeaders(Random& random) {
  switch (Below(random, 3)) {
    case 0:
      return {{"x-kind", "gate"}};
    case 1:
      return {{"x-kind", "other"}};
    default:
      return {};
  }
}

rules::RequestFacts RandomFacts(Random& random, const Headers& headers) {
  rules::RequestFacts facts;
  facts.account = core::AccountId(Name("a", Below(random, 8)));
  if (Below(random, 2) == 0) {
    facts.model = core::ModelId(Name("m", Below(random, 90)));
  } else if (Below(random, 4) != 0) {
    facts.service = core::ServiceId(Name("s", Below(random, 4)));
  }
  facts.method = Below(random, 2) == 0 ? "GET" : "POST";
  facts.path = Below(random, 2) == 0 ? "/v1/chat" : "/seats/7";
  facts.headers = headers;
  facts.prompt = core::Bytes(Below(random, 120));
  facts.max_output_tokens = core::Tokens(Below(random, 120));
  facts.minute_of_day = Below(random, 1440);
  return facts;
}

}  // namespace

// clang-format off
TEST_GROUP(IndexEquivalence){};
// clang-format on

TEST(IndexEquivalence, index_and_linear_scan_decide_as_the_schema_defines) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Random random(seed);
    const v1::Configuration configuration = RandomRules(random);
    const rules::RuleSet rule_set(configuration);
    for (int i = 0; i < kRequests; ++i) {
      const Headers headers = RandomHeaders(random);
      const rules::RequestFacts facts = RandomFacts(random, headers);
      const std::string expected = ExpectedRule(configuration, facts, headers);
      STRCMP_EQUAL(expected.c_str(), RuleOf(rule_set.Match(facts)).c_str());
      STRCMP_EQUAL(expected.c_str(),
                   RuleOf(rule_set.MatchLinear(facts)).c_str());
    }
  }
}
