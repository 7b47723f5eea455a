#include "coppervalve/entry/heartbeat_parser.h"

#include <CppUTest/TestHarness.h>
#include <google/protobuf/stubs/logging.h>

#include <pcg_random.hpp>
#include <string>  // string

#include "coppervalve/entry/allocation_ledger.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

v1::RouterBeat ValidHeartbeat() {
  v1::RouterBeat beat;
  beat.set_epoch(3);
  beat.set_sequence(7);
  beat.set_caller_address("10.0.0.1:80");
  for (const char* account : {"gate", "tours"}) {
    v1::AccountClaim* claim = beat.add_claims();
    claim->set_account(account);
    claim->set_ceiling(5'000);
    claim->set_spent(3'000);
    claim->set_retired(900);
    claim->set_retired_spent(800);
  }
  return beat;
}

}  // namespace

// clang-format off
TEST_GROUP(HeartbeatParser){};
// clang-format on

TEST(HeartbeatParser, a_valid_heartbeat_is_parsed) {
  CHECK(core::IsOk(ParseHeartbeat(ValidHeartbeat().SerializeAsString())));
}

TEST(HeartbeatParser, inconsistent_claims_are_errors) {
  v1::RouterBeat beat = ValidHeartbeat();
  beat.mutable_claims(0)->set_spent(5'001);
  CHECK_FALSE(core::IsOk(ParseHeartbeat(beat.SerializeAsString())));
  beat = ValidHeartbeat();
  beat.mutable_claims(1)->set_ceiling(-1);
  CHECK_FALSE(core::IsOk(ParseHeartbeat(beat.SerializeAsString())));
  beat = ValidHeartbeat();
  beat.mutable_claims(1)->set_retired(INT64_MAX);
  CHECK_FALSE(core::IsOk(ParseHeartbeat(beat.SerializeAsString())));
}

TEST(HeartbeatParser, damaged_heartbeats_never_let_a_router_exceed_the_total) {
  // A damaged record may state less than its writer claimed, but a router never
  // grants itself more than the total.
  constexpr int kRounds = 20'000;
  constexpr int64_t kTotal = 100'000;
  const std::string good = ValidHeartbeat().SerializeAsString();
  google::protobuf::SetLogHandler(nullptr);
  pcg64 random(20261202);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes = good;
    for (uint64_t changes = 1 + random() % 4; changes != 0; --changes) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const auto read = ParseHeartbeat(bytes);
    if (!core::IsOk(read)) {
      continue;
    }
    AllocationLedger book{AllocationOptions{}};
    Configuration configuration;
    Account account;
    account.name = core::AccountId("gate");
    account.prepaid = core::Tokens(kTotal);
    configuration.accounts = {account};
    book.OnConfiguration(configuration);
    book.OnPeerHeartbeat(core::RouterId("other"), core::Value(read), At(1));
    book.OnDemand(account.name, core::Tokens(1'000), At(1));
    v1::RouterBeat own;
    own.set_sequence(1);
    book.WriteClaims(own, {}, At(1));
    book.OnOwnHeartbeat(own);
    const auto figures = book.FiguresOf(account.name);
    CHECK(figures.ceiling >= core::Tokens(0));
    CHECK(figures.ceiling + figures.others <= core::Tokens(kTotal) ||
          figures.ceiling == core::Tokens(0));
  }
}
