#include "bench/capacity/fleet_records.h"

#include <cstdio>  // snprintf

#include "coppervalve/core/hash.h"

namespace coppervalve::bench {

namespace {

constexpr int64_t kPrepaidTokens = 1'000'000'000'000;
constexpr int64_t kHeldTokens = 1'000'000;
constexpr uint32_t kGateReservePermille = 50;
constexpr uint32_t kMaxConcurrency = 256;
constexpr uint64_t kFirstIncarnation = 0x1000'0000'0000'0000;

void AddAccounts(const FleetSizes& sizes, v1::Configuration& configuration) {
  for (size_t i = 0; i < sizes.accounts; ++i) {
    v1::Account& account = *configuration.add_accounts();
    account.set_id(NumberedId("account", i));
    account.add_api_key_sha256(core::Sha256Hex(ApiKeyOf(i)));
    account.set_budget(NumberedId("budget", i % sizes.budgets));
  }
}

void AddBudgets(const FleetSizes& sizes, v1::Configuration& configuration) {
  for (size_t i = 0; i < sizes.budgets; ++i) {
    v1::Budget& budget = *configuration.add_budgets();
    budget.set_id(NumberedId("budget", i));
    budget.set_account(NumberedId("account", i % sizes.accounts));
    budget.set_prepaid_tokens(kPrepaidTokens);
    budget.set_gate_reserve_permille(kGateReservePermille);
  }
}

void AddUpstreams(const FleetSizes& sizes, v1::Configuration& configuration) {
  for (size_t i = 0; i < sizes.upstreams; ++i) {
    v1::Upstream& engine = *configuration.add_upstreams();
    engine.set_id(NumberedId("engine", i));
    engine.set_kind(v1::MODEL_ENGINE);
    engine.set_address("10.0." + std::to_string(i / 256) + "." +
                       std::to_string(i % 256) + ":8000");
    engine.set_failure_domain(FailureDomainOf(i).value());
    engine.add_models(ModelOf(sizes, i));
    engine.set_max_concurrency(kMaxConcurrency);
  }
}

void AddRules(const FleetSizes& sizes, v1::Configuration& configuration) {
  for (size_t i = 0; i < sizes.rules; ++i) {
    v1::Rule& rule = *configuration.add_rules();
    rule.set_id(NumberedId("rule", i));
    rule.mutable_then()->mutable_route()->set_admission_class(v1::INTERACTIVE);
    if (i + 1 == sizes.rules) {
      continue;
    }
    rule.mutable_when()->add_accounts(
        NumberedId("account", i % sizes.accounts));
    rule.mutable_when()->add_models(ModelOf(sizes, i));
  }
}

}  // namespace

std::string NumberedId(const std::string& kind, size_t number) {
  constexpr size_t kDigits = 16;
  char digits[kDigits];
  // Longer than std::string's internal buffer, as operators' ids often are, so
  // that copies show in the allocation count.
  std::snprintf(digits, sizeof(digits), "-site-%05zu", number);
  return kind + digits;
}

v1::Configuration MakeConfiguration(const FleetSizes& sizes) {
  v1::Configuration configuration;
  configuration.set_name("capacity");
  AddAccounts(sizes, configuration);
  AddBudgets(sizes, configuration);
  AddUpstreams(sizes, configuration);
  AddRules(sizes, configuration);
  return configuration;
}

std::string ApiKeyOf(size_t account) {
  return NumberedId("key", account);
}

std::string ModelOf(const FleetSizes& sizes, size_t number) {
  return NumberedId("model", number % sizes.models);
}

core::RouterId RouterOf(size_t number) {
  return core::RouterId(NumberedId("router", number));
}

core::Incarnation IncarnationOf(size_t number) {
  return core::Incarnation(kFirstIncarnation + number);
}

core::FailureDomainId FailureDomainOf(size_t number) {
  return core::FailureDomainId(NumberedId("domain", number % kFailureDomains));
}

v1::Entry EntryOf(size_t router, uint64_t sequence, uint64_t seen_offset) {
  v1::Entry entry;
  entry.set_writer(RouterOf(router).value());
  entry.set_incarnation(IncarnationOf(router).value());
  entry.set_sequence(sequence);
  entry.set_seen_offset(seen_offset);
  return entry;
}

v1::Entry PublishEntry(const v1::Configuration& configuration,
                       uint64_t based_on) {
  v1::Entry entry;
  entry.set_writer("operator:capacity");
  entry.set_incarnation(based_on + 1);
  entry.set_sequence(1);
  v1::ConfigPublished& published =
      *entry.add_records()->mutable_config_published();
  published.set_based_on(based_on);
  *published.mutable_configuration() = configuration;
  published.set_operator_name("capacity");
  published.set_change_id("change-" + std::to_string(based_on));
  return entry;
}

v1::Entry JoinEntry(size_t router, uint64_t seen_offset) {
  v1::Entry entry = EntryOf(router, 1, seen_offset);
  v1::RouterJoined& joined = *entry.add_records()->mutable_router_joined();
  const std::string address = "10.1." + std::to_string(router / 256) + "." +
                              std::to_string(router % 256);
  joined.set_caller_address(address + ":8080");
  joined.set_peer_address(address + ":8081");
  joined.set_operator_address(address + ":8082");
  joined.set_failure_domain(FailureDomainOf(router).value());
  joined.set_region(NumberedId("region", router % 4));
  joined.set_version("0.1.0");
  return entry;
}

v1::Entry HoldingsEntry(const FleetSizes& sizes,
                        size_t router,
                        uint64_t sequence,
                        uint64_t seen_offset) {
  v1::Entry entry = EntryOf(router, sequence, seen_offset);
  const size_t others = sizes.members - 1;
  for (size_t i = 0; i < sizes.budgets; ++i) {
    const size_t first = i % others;
    const size_t distance = (router - 1 + others - first) % others;
    if (distance >= sizes.holders) {
      continue;
    }
    v1::AllotmentRequested& request =
        *entry.add_records()->mutable_allotment_requested();
    request.set_budget(NumberedId("budget", i));
    request.set_tokens(kHeldTokens);
    request.set_minimum(1);
    request.set_admission_class(v1::INTERACTIVE);
  }
  return entry;
}

}  // namespace coppervalve::bench
