#include <CppUTest/TestHarness.h>

#include "coppervalve/config/tables.h"

using namespace coppervalve;

// clang-format off
TEST_GROUP(Tables){};
// clang-format on

TEST(Tables, an_account_is_found_by_its_id_and_by_each_of_its_keys) {
  v1::Configuration configuration;
  v1::Account& account = *configuration.add_accounts();
  account.set_id("tours");
  account.set_budget("sales");
  account.set_requests_per_second(5);
  account.add_api_key_sha256("aa");
  account.add_api_key_sha256("bb");
  const auto tables = config::Compile(configuration);

  CHECK(tables->FindAccount(core::AccountId("tours")) != nullptr);
  CHECK(tables->FindAccountByKey("aa") == tables->FindAccountByKey("bb"));
  CHECK(tables->FindAccountByKey("aa")->budget == core::BudgetId("sales"));
  UNSIGNED_LONGS_EQUAL(5, tables->FindAccountByKey("aa")->burst);
  CHECK(tables->FindAccountByKey("cc") == nullptr);
  CHECK(tables->FindAccount(core::AccountId("gate")) == nullptr);
}

TEST(Tables, upstreams_are_listed_by_what_they_serve) {
  v1::Configuration configuration;
  for (const char* id : {"e1", "e2"}) {
    v1::Upstream& engine = *configuration.add_upstreams();
    engine.set_id(id);
    engine.add_models("small");
  }
  v1::Upstream& service = *configuration.add_upstreams();
  service.set_id("seats-1");
  service.set_service("seats");
  const auto tables = config::Compile(configuration);

  UNSIGNED_LONGS_EQUAL(2, tables->UpstreamsOf(core::ModelId("small"))->size());
  UNSIGNED_LONGS_EQUAL(0, tables->UpstreamsOf(core::ModelId("large"))->size());
  CHECK(tables->UpstreamsOf(core::ServiceId("seats"))->front() ==
        core::UpstreamId("seats-1"));
}

TEST(Tables, an_absent_limit_takes_its_default) {
  v1::Limits limits;
  limits.set_gate_queue_ms(500);
  const config::EffectiveLimits view = config::ResolveLimits(limits);
  CHECK(view.QueueFor(v1::GATE) == std::chrono::milliseconds(500));
  CHECK(view.QueueFor(v1::BATCH) == std::chrono::seconds(60));
  CHECK(view.max_body == core::Bytes(1 << 20));
}
