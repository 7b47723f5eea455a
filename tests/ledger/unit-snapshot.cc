#include <CppUTest/TestHarness.h>

#include <set>  // set

#include "pcg_random.hpp"
#include "test_log.h"

using namespace coppervalve;
using namespace coppervalve::ledger;

namespace {

constexpr FoldSettings kSettings{.dedup_window = kTestWindow,
                                 .checkpoint_interval = 16};

Fold FoldAll(const std::vector<v1::Entry>& entries) {
  Fold fold(kSettings);
  for (const v1::Entry& entry : entries) {
    CHECK(core::IsOk(fold.Apply(fold.next_offset(), entry)));
  }
  return fold;
}

// Three routers and an operator that write random records, valid or not. Each
// entry is appended up to three times, sometimes out of order.
class RandomFleet {
 public:
  explicit RandomFleet(uint64_t seed) : m_random(seed) {}

  void Step() {
    Writer& writer = m_routers[RandomBelow(m_routers.size())];
    const v1::Entry entry =
        RandomBelow(8) == 0 ? m_log.Draft(m_alice, {RandomOperatorRecord()})
                            : m_log.Draft(writer, RandomRouterRecords(writer));
    Append(entry);
    if (RandomBelow(4) == 0) {
      Append(entry);
    }
    if (RandomBelow(8) == 0) {
      const v1::Entry late =
          m_log.entries()[RandomBelow(m_log.entries().size())];
      Append(late);
    }
  }

  /// @return the types of the effects, as indices of the variant
  const std::set<size_t>& kinds() const { return m_kinds; }

  TestLog& log() { return m_log; }

 private:
  void Append(const v1::Entry& entry) {
    for (const Effect& effect : m_log.Append(entry)) {
      m_kinds.insert(effect.index());
    }
  }
  uint64_t RandomBelow(uint64_t bound) {
    return m_random(static_cast<uint32_t>(bound));
  }
  int64_t RandomAmount() { return static_cast<int64_t>(RandomBelow(200)); }
  const Writer& RandomRouter() {
    return m_routers[RandomBelow(m_routers.size())];
  }

  v1::Record RandomOperatorRecord() {
    const std::string id = std::to_string(RandomBelow(30));
    const uint64_t version = m_log.fold().config_version().value();
    const auto release = RandomBelow(2) == 0 ? v1::ON_PROOF : v1::OPERATOR_ONLY;
    switch (RandomBelow(4)) {
      case 0:
        return TopUp(RandomAmount(), "t" + id);
      case 1:
        return Release(m_retired.empty() ? RandomRouter() : m_retired.back(),
                       RandomAmount());
      case 2:
        return Retire(RandomRouter(), RandomBelow(40));
      default:
        return Publish(version, 1000 + static_cast<int64_t>(m_log.next()),
                       "c" + std::to_string(m_log.next()), release, 100);
    }
  }

  // A spend that the router may validly report, so that the fold does not stop.
  int64_t RandomSpend(const Writer& router) {
    const Holding* holding = m_log.fold().FindHolding(
        core::Incarnation(router.incarnation), core::BudgetId("tours"));
    const int64_t most =
        holding ? holding->spent.value() + holding->held().value() : 0;
    return static_cast<int64_t>(RandomBelow(static_cast<uint64_t>(most) + 1));
  }

  std::vector<v1::Record> RandomRouterRecords(Writer& writer) {
    const Member* member = m_log.fold().FindMember(
        core::RouterId(writer.id), core::Incarnation(writer.incarnation));
    if (member == nullptr || (!member->live() && RandomBelow(3) == 0)) {
      m_retired.push_back(writer);
      writer = Writer{writer.id, ++m_incarnations, 0};
      return {Join()};
    }
    if (!member->live() && RandomBelow(3) == 0) {
      return {FinalizeSpend(writer, RandomSpend(writer), RandomAmount() / 4)};
    }
    const std::string key = std::to_string(RandomBelow(50));
    switch (RandomBelow(9)) {
      case 0:
        return {Spend(RandomSpend(writer), {{key, RandomAmount()}}),
                ClaimKey(key)};
      case 1:
        return {ReturnAllotment(RandomAmount())};
      case 2:
        return {ChooseWitness(RandomRouter())};
      case 3:
        return {Retire(RandomRouter(), RandomBelow(40))};
      case 4:
        return {NarrowQuarantine(m_retired.empty() ? writer : m_retired.back(),
                                 RandomAmount()),
                NarrowQuarantine(RandomRouter(), RandomAmount())};
      case 5:
        return {
            Transfer(writer, RandomRouter(), RandomBelow(40), RandomAmount())};
      case 6:
        return {
            Transfer(RandomRouter(), writer, RandomBelow(40), RandomAmount())};
      default:
        return {RequestAllotment(RandomAmount(), 1,
                                 RandomBelow(2) == 0 ? v1::GATE : v1::BATCH)};
    }
  }

  pcg64 m_random;
  std::set<size_t> m_kinds;
  TestLog m_log;
  uint64_t m_incarnations = 100;
  Writer m_alice{"operator:alice", 11};
  std::vector<Writer> m_routers{{"r1", 1}, {"r2", 2}, {"r3", 3}};
  std::vector<Writer> m_retired;
};

}  // namespace

// clang-format off
TEST_GROUP(Snapshots){};
// clang-format on

// TestLog checks conservation after every entry. In addition, the fold is
// restored from four of its own states and must end with the same digest.
TEST(Snapshots, random_logs_conserve_tokens_and_restored_states_agree) {
  constexpr uint64_t kSeeds = 20;
  constexpr int kSteps = 300;
  // All effects except those of orders, drains, confirmations and snapshots.
  constexpr size_t kKindsAtLeast = 20;
  std::set<size_t> kinds;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFleet fleet(seed);
    for (int step = 0; step < kSteps; ++step) {
      fleet.Step();
    }
    kinds.insert(fleet.kinds().begin(), fleet.kinds().end());
    const auto& entries = fleet.log().entries();
    const uint64_t digest = fleet.log().fold().Digest();
    Fold whole(kSettings);
    for (size_t i = 0; i < entries.size(); ++i) {
      if (i % (entries.size() / 4) == 1) {
        auto resumed = Fold::FromState(whole.ToState(), kSettings);
        CHECK(core::IsOk(resumed));
        CHECK(core::Value(resumed).Digest() == whole.Digest());
        whole = core::TakeValue(std::move(resumed));
      }
      CHECK(core::IsOk(whole.Apply(whole.next_offset(), entries[i])));
    }
    CHECK_TEXT(digest == whole.Digest(), std::to_string(seed).c_str());
  }
  CHECK(kinds.size() >= kKindsAtLeast);
}

TEST(Snapshots, a_snapshot_that_agrees_changes_only_the_offset) {
  Fleet log;
  log.RetireFirstRouter();
  const v1::Record snapshot = SnapshotAt(log.fold(), log.fold().Digest());
  const auto effects = log.Write(log.r2, snapshot);
  CHECK(Find<SnapshotMatched>(effects) != nullptr);
  LONGS_EQUAL(70, log.Quarantined());
}

// The states of two routers differ because of a fault, which shows only when a
// snapshot of one is compared by the other. That fold must stop and stay
// stopped.
TEST(Snapshots, a_digest_that_differs_stops_the_fold) {
  Fleet log;
  const v1::Record snapshot = SnapshotAt(log.fold(), log.fold().Digest() + 1);
  const auto result = log.Try(log.Draft(log.r2, {snapshot}));
  CHECK(core::Failure(result).id == core::ErrorId::kDigestMismatch);
  CHECK(core::Failure(log.Try({})).id == core::ErrorId::kDigestMismatch);
}

// Other entries reach the log between the creation of a snapshot and its
// append. A snapshot taken at a checkpoint is still compared; any other is
// accepted without comparison.
TEST(Snapshots, a_snapshot_of_a_checkpoint_is_compared_when_appended_later) {
  std::vector<v1::Entry> entries(16);
  Fold fold = FoldAll(entries);
  CHECK(fold.last_checkpoint() == core::LogOffset(16));
  const v1::Record good = SnapshotAt(fold, fold.Digest());
  const v1::Record bad = SnapshotAt(fold, fold.Digest() + 1);
  CHECK(core::IsOk(fold.Apply(fold.next_offset(), {})));
  const v1::Record between = SnapshotAt(fold, 0);
  TestLog drafts;
  Writer alice{"operator:alice", 11};
  const auto land = [&](const v1::Record& snapshot) {
    return fold.Apply(fold.next_offset(), drafts.Draft(alice, {snapshot}));
  };
  CHECK(Find<SnapshotMatched>(core::Value(land(good))) != nullptr);
  CHECK(Find<SnapshotNotCompared>(core::Value(land(between))) != nullptr);
  CHECK(core::Failure(land(bad)).id == core::ErrorId::kDigestMismatch);
}

TEST(Snapshots, an_applied_offset_is_skipped_and_a_gap_is_an_error) {
  Fold fold = FoldAll(std::vector<v1::Entry>(3));
  CHECK(core::Value(fold.Apply(core::LogOffset(1), {})).empty());
  CHECK(core::Failure(fold.Apply(core::LogOffset(4), {})).id ==
        core::ErrorId::kLogGap);
  CHECK(core::IsOk(fold.Apply(core::LogOffset(3), {})));
}

TEST(Snapshots, a_state_that_does_not_balance_is_refused) {
  Fleet log;
  log.Write(log.r1, RequestAllotment(100));
  v1::FoldState state = log.fold().ToState();
  state.mutable_budgets(0)->set_free(901);
  CHECK(core::Failure(Fold::FromState(state)).id ==
        core::ErrorId::kConservationBroken);
  state.mutable_budgets(0)->mutable_holdings(0)->set_router("r9");
  CHECK(core::Failure(Fold::FromState(state)).id ==
        core::ErrorId::kSnapshotInvalid);
}
