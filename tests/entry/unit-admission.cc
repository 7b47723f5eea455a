#include "coppervalve/entry/admission.h"

#include <CppUTest/TestHarness.h>

#include <memory>  // make_shared

using namespace coppervalve;
using namespace coppervalve::entry;

namespace {

Route RouteOf(const char* name, const char* prefix) {
  Route route;
  route.name = core::RuleId(name);
  route.host = "desk.example";
  route.prefix = prefix;
  route.timeout = std::chrono::seconds(4);
  route.services = {{core::ServiceId(name), 1}};
  return route;
}

std::shared_ptr<const ConfigurationIndex> TwoRoutes() {
  Configuration configuration;
  configuration.version = core::ConfigVersion(7);
  configuration.routes = {RouteOf("short", "/a/"), RouteOf("long", "/a/b/")};
  Account account;
  account.name = core::AccountId("gate");
  account.keys = {"key-1"};
  configuration.accounts = {account};
  return std::make_shared<const ConfigurationIndex>(configuration);
}

RequestFacts FactsFor(const char* target, const char* key) {
  RequestFacts facts;
  facts.host = "desk.example";
  facts.target = target;
  facts.key = key;
  return facts;
}

core::ErrorId Refusal(const ConfigurationView& view,
                      const RequestFacts& facts) {
  const core::Result<Admitted> admitted = Admit(view, facts, 0);
  CHECK_FALSE(core::IsOk(admitted));
  return core::Failure(admitted).id;
}

}  // namespace

// clang-format off
TEST_GROUP(Admission) {
  ConfigurationView view{TwoRoutes(), true, false};
};
// clang-format on

TEST(Admission, the_longest_prefix_decides) {
  const auto admitted = Admit(view, FactsFor("/a/b/c?d", "key-1"), 0);
  STRCMP_EQUAL("long", core::Value(admitted).route->name.value().c_str());
  const auto other = Admit(view, FactsFor("/a/bc", "key-1"), 0);
  STRCMP_EQUAL("short", core::Value(other).route->name.value().c_str());
}

TEST(Admission, a_port_in_the_host_is_ignored) {
  RequestFacts facts = FactsFor("/a/", "key-1");
  facts.host = "desk.example:8080";
  CHECK(core::IsOk(Admit(view, facts, 0)));
}

TEST(Admission, unknown_routes_and_keys_are_rejected) {
  CHECK(Refusal(view, FactsFor("/z/", "key-1")) == core::ErrorId::kNotFound);
  CHECK(Refusal(view, FactsFor("/a/", "key-2")) ==
        core::ErrorId::kUnauthorized);
}

TEST(Admission, a_disconnected_router_gives_no_final_rejection) {
  // A caller with a valid key must not get a final rejection. The key was added
  // while the router could not reach the store; its configuration is older and
  // lacks the key.
  view.fresh = false;
  CHECK(Refusal(view, FactsFor("/a/", "key-2")) ==
        core::ErrorId::kConfigurationStale);
  CHECK(Refusal(view, FactsFor("/z/", "key-1")) ==
        core::ErrorId::kConfigurationStale);
}

TEST(Admission, without_a_configuration_there_is_no_final_rejection) {
  view.configuration_index = nullptr;
  CHECK(Refusal(view, FactsFor("/a/", "key-1")) == core::ErrorId::kNotReady);
}

TEST(Admission, expired_keys_are_not_accepted) {
  view.keys_expired = true;
  CHECK(Refusal(view, FactsFor("/a/", "key-1")) ==
        core::ErrorId::kConfigurationStale);
}

TEST(Admission, the_limit_is_the_shorter_of_route_and_caller_timeout) {
  RequestFacts facts = FactsFor("/a/", "key-1");
  facts.caller_timeout = std::chrono::seconds(1);
  CHECK(core::Value(Admit(view, facts, 0)).limit == std::chrono::seconds(1));
  facts.caller_timeout = std::chrono::seconds(9);
  CHECK(core::Value(Admit(view, facts, 0)).limit == std::chrono::seconds(4));
}

TEST(Admission, services_are_chosen_by_weight) {
  Route route = RouteOf("split", "/");
  route.services = {{core::ServiceId("one"), 9}, {core::ServiceId("two"), 1}};
  int second = 0;
  for (uint64_t draw = 0; draw < 100; ++draw) {
    second += ChooseService(route, draw) == core::ServiceId("two") ? 1 : 0;
  }
  CHECK_EQUAL(10, second);
}
