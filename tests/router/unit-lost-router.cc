#include <functional>  // function
#include <optional>    // optional
#include <string>      // to_string

#include "coppervalve/budget/holding_manager.h"
#include "fleet_fixture.h"

using namespace coppervalve;
using namespace coppervalve::trial;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const core::BudgetId kBudget("b0");

LoadOptions LoadOfOneBudget() {
  LoadOptions options;
  options.prepaid = 1'000'000;
  options.accounts = 1;
  return options;
}

/// A fleet under load that loses one router; its witness may fail around then.
class LostRouter {
 public:
  explicit LostRouter(FleetOptions options, LoadOptions load_options)
      : m_run(std::move(options), load_options),
        m_load(m_run.fleet, m_run.audit, load_options) {
    m_load.Start();
  }

  RunningFleet& run() { return m_run; }
  Fleet& fleet() { return m_run.fleet; }
  size_t lost() const { return m_lost; }

  /// @return whether the router has a witness
  bool Choose(size_t lost) {
    m_lost = lost;
    const ledger::Member* member =
        m_run.audit.fold().FindLive(RouterName(lost));
    m_incarnation = member->incarnation;
    for (size_t i = 0; i < fleet().size(); ++i) {
      if (RouterName(i) == member->witness) {
        m_witness = i;
      }
    }
    return m_witness.has_value();
  }

  Node& witness() { return fleet().node(*m_witness); }
  LogLink& log_link_of_witness() { return fleet().log_link(*m_witness); }

  /// Kills the router and remembers its own bound of what that strands.
  void Kill() {
    const auto status =
        fleet().node(m_lost).core().holding_manager().StatusOf(kBudget);
    m_ceiling = status ? status->ceiling_requested() : 0;
    fleet().node(m_lost).Kill();
  }

  void Recover(core::Duration duration) {
    for (size_t i = 0; i < fleet().size(); ++i) {
      fleet().log_link(i) = LogLink{};
      fleet().SetPartitionedFromAll(i, false);
    }
    if (witness().paused()) {
      witness().Resume();
    }
    m_load.Stop();
    m_run.Run(duration);
  }

  const ledger::Member* FindRetired() {
    for (const ledger::Member* member : m_run.audit.fold().RetiredMembers()) {
      if (member->incarnation == m_incarnation) {
        return member;
      }
    }
    return nullptr;
  }

  /// @return whether the router's witness is still the incarnation that
  /// recorded its ceilings
  bool WitnessIsLive() {
    const ledger::Member* lost = FindRetired();
    const ledger::Member* member =
        m_run.audit.fold().FindMember(lost->witness, lost->witness_incarnation);
    return member != nullptr && member->live();
  }

  int64_t ceiling() const { return m_ceiling; }

 private:
  RunningFleet m_run;
  LoadGenerator m_load;
  size_t m_lost = 0;
  core::Incarnation m_incarnation;
  std::optional<size_t> m_witness;
  int64_t m_ceiling = 0;
};

/// Disturbs the witness, or everyone's log, in one of several ways.
void Disturb(LostRouter& trial, uint64_t kind) {
  Fleet& fleet = trial.fleet();
  const std::function<void()> kinds[] = {
      [] {},
      [&] { trial.witness().Pause(); },
      [&] { trial.log_link_of_witness().up = false; },
      [&] { trial.log_link_of_witness().extra_delay = milliseconds(800); },
      [&] { trial.log_link_of_witness().lose_replies = 0.5; },
      [&] { fleet.SetPartitionedFromAll(trial.witness().index(), true); },
      [&] {
        for (size_t i = 0; i < fleet.size(); ++i) {
          fleet.log_link(i).up = false;
        }
      },
  };
  kinds[kind % std::size(kinds)]();
}

void CheckOnlyCeilingIsStranded(uint64_t seed) {
  FleetOptions fleet_options;
  fleet_options.seed = seed;
  LostRouter trial(fleet_options, LoadOfOneBudget());
  Fleet& fleet = trial.fleet();
  trial.run().Run(seconds(4) + milliseconds(fleet.Random() % 6'000));
  if (!trial.Choose(fleet.Random() % fleet.size())) {
    return;
  }
  const uint64_t kind = fleet.Random();
  const bool disturbed_first = fleet.Random() % 2 == 0;
  const auto between = milliseconds(fleet.Random() % 12'000);
  if (disturbed_first) {
    Disturb(trial, kind);
    trial.run().Run(between / 4);
    trial.Kill();
  } else {
    trial.Kill();
    trial.run().Run(between);
    Disturb(trial, kind);
  }
  trial.run().Run(milliseconds(500 + fleet.Random() % 9'000));
  trial.Recover(seconds(60));

  const std::string name = "seed " + std::to_string(seed);
  const ledger::Member* lost = trial.FindRetired();
  CHECK_TRUE_TEXT(lost != nullptr, name.c_str());
  const auto holding = lost->holdings.find(kBudget);
  if (holding == lost->holdings.end() || !trial.WitnessIsLive()) {
    return;
  }
  CHECK_TRUE_TEXT(holding->second.ceiling.has_value(), name.c_str());
  const int64_t stranded = holding->second.held().value();
  const int64_t bound = trial.ceiling() - holding->second.spent.value();
  CHECK_TRUE_TEXT(stranded <= bound, name.c_str());
}

}  // namespace

// clang-format off
TEST_GROUP(LostRouter){};
// clang-format on

// Guards against tokens above the ceiling that stay in quarantine.
TEST(LostRouter, strands_only_its_ceiling_while_its_witness_is_live) {
  constexpr uint64_t kSeeds = 100;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckOnlyCeilingIsStranded(seed);
  }
}

// Guards against a report of ceilings that a full backlog drops.
TEST(LostRouter, is_reported_by_a_witness_whose_log_backlog_is_full) {
  FleetOptions options;
  options.writer.max_backlog_records = 600;
  options.writer.max_entry_records = 20;  // the backlog empties slowly
  LostRouter trial(options, LoadOfOneBudget());
  trial.run().Run(seconds(6));
  CHECK(trial.Choose(3));
  trial.Kill();
  trial.run().Run(seconds(8));
  // Most of these are forwarded to the routers that own their keys.
  constexpr int kHoldsPerRound = 4'000;
  for (int key = 0; trial.FindRetired() == nullptr;) {
    trial.log_link_of_witness().up = false;
    for (int i = 0; i < kHoldsPerRound; ++i) {
      const size_t hold = trial.fleet().AddRequest(
          trial.run().Hold("hold-" + std::to_string(key++)));
      trial.fleet().Send(hold, trial.witness().index());
    }
    trial.run().Run(seconds(1));
    trial.log_link_of_witness().up = true;
    trial.run().Run(milliseconds(300));
  }
  trial.Recover(seconds(30));
  CHECK(trial.WitnessIsLive());
  CHECK(trial.FindRetired()->holdings.at(kBudget).ceiling.has_value());
}
