#ifndef TESTS_LEDGER_TEST_LOG_H_
#define TESTS_LEDGER_TEST_LOG_H_

#include <CppUTest/TestHarness.h>

#include <string>   // string
#include <utility>  // pair
#include <variant>  // get_if
#include <vector>   // vector

#include "coppervalve/ledger/fold.h"

namespace coppervalve::ledger {

inline constexpr uint64_t kTestWindow = 100;

/// @brief A writer that appends consecutive entries.
struct Writer {
  std::string id;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
};

/// @brief A log with one reader that checks conservation after each entry.
class TestLog {
 public:
  TestLog() : m_fold({.dedup_window = kTestWindow}) {}

  Fold& fold() { return m_fold; }
  const std::vector<v1::Entry>& entries() const { return m_entries; }
  uint64_t next() const { return m_fold.next_offset().value(); }

  /// @brief Creates the writer's next entry without appending it.
  v1::Entry Draft(Writer& writer, const std::vector<v1::Record>& records) {
    v1::Entry entry;
    entry.set_writer(writer.id);
    entry.set_incarnation(writer.incarnation);
    entry.set_sequence(++writer.sequence);
    entry.set_seen_offset(next());
    for (const v1::Record& record : records) {
      *entry.add_records() = record;
    }
    return entry;
  }

  core::Result<std::vector<Effect>> Try(const v1::Entry& entry) {
    m_entries.push_back(entry);
    return m_fold.Apply(m_fold.next_offset(), entry);
  }

  std::vector<Effect> Append(const v1::Entry& entry) {
    auto result = Try(entry);
    CHECK_TEXT(core::IsOk(result), "the fold stopped");
    CHECK_TEXT(core::IsOk(m_fold.CheckConservation()), "conservation");
    return core::TakeValue(std::move(result));
  }

  std::vector<Effect> Write(Writer& writer, const v1::Record& record) {
    return Append(Draft(writer, {record}));
  }

  void SkipOffsets(uint64_t offsets) {
    for (uint64_t i = 0; i < offsets; ++i) {
      Append({});
    }
  }

  const Budget& budget(const std::string& id = "tours") {
    const Budget* budget = m_fold.FindBudget(core::BudgetId(id));
    CHECK(budget != nullptr);
    return *budget;
  }

  int64_t Free() { return budget().free.value(); }
  int64_t Quarantined() { return budget().quarantined.value(); }

 private:
  Fold m_fold;
  std::vector<v1::Entry> m_entries;
};

/// @return the first effect of a type; null when there is none
template <typename T>
const T* Find(const std::vector<Effect>& effects) {
  for (const Effect& effect : effects) {
    if (const T* found = std::get_if<T>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

/// @return whether the entry was ignored for this reason
inline bool Ignored(const std::vector<Effect>& effects, IgnoreReason reason) {
  const EntryIgnored* ignored = Find<EntryIgnored>(effects);
  return ignored != nullptr && ignored->reason == reason;
}

inline v1::Record Publish(uint64_t based_on,
                          int64_t prepaid,
                          const std::string& change_id,
                          v1::ReleasePolicy release = v1::ON_PROOF,
                          uint32_t gate_reserve_permille = 0) {
  v1::Record record;
  v1::ConfigPublished& published = *record.mutable_config_published();
  published.set_based_on(based_on);
  published.set_change_id(change_id);
  published.set_operator_name("name-" + change_id);
  v1::Budget& budget = *published.mutable_configuration()->add_budgets();
  budget.set_id("tours");
  budget.set_prepaid_tokens(prepaid);
  budget.set_release(release);
  budget.set_gate_reserve_permille(gate_reserve_permille);
  published.mutable_configuration()->add_upstreams()->set_id("engine-1");
  return record;
}

inline v1::Record TopUp(int64_t tokens, const std::string& id) {
  v1::Record record;
  record.mutable_topped_up()->set_budget("tours");
  record.mutable_topped_up()->set_tokens(tokens);
  record.mutable_topped_up()->set_top_up_id(id);
  return record;
}

inline v1::Record Join() {
  v1::Record record;
  record.mutable_router_joined()->set_failure_domain("fd-1");
  return record;
}

inline v1::Record RequestAllotment(
    int64_t tokens,
    int64_t minimum = 1,
    v1::AdmissionClass admission_class = v1::INTERACTIVE) {
  v1::Record record;
  v1::AllotmentRequested& asked = *record.mutable_allotment_requested();
  asked.set_budget("tours");
  asked.set_tokens(tokens);
  asked.set_minimum(minimum);
  asked.set_admission_class(admission_class);
  return record;
}

inline v1::Record ReturnAllotment(int64_t tokens) {
  v1::Record record;
  record.mutable_allotment_returned()->set_budget("tours");
  record.mutable_allotment_returned()->set_tokens(tokens);
  return record;
}

using Bills = std::vector<std::pair<std::string, int64_t>>;

inline v1::Record Spend(int64_t spent, const Bills& bills = {}) {
  v1::Record record;
  v1::SpendReported& report = *record.mutable_spend_reported();
  report.set_budget("tours");
  report.set_spent(spent);
  for (const auto& [key, tokens] : bills) {
    v1::Bill& bill = *report.add_bills();
    bill.set_key_hash(core::HashOf(key).ToBytes());
    bill.set_tokens(tokens);
  }
  return record;
}

inline v1::Record ClaimKey(const std::string& key) {
  v1::Record record;
  record.mutable_key_claimed()->set_key_hash(core::HashOf(key).ToBytes());
  return record;
}

inline v1::Record Retire(const Writer& router,
                         uint64_t as_of_sequence,
                         v1::RetireReason reason = v1::SILENT) {
  v1::Record record;
  v1::RouterRetired& retired = *record.mutable_router_retired();
  retired.set_router(router.id);
  retired.set_incarnation(router.incarnation);
  retired.set_as_of_sequence(as_of_sequence);
  retired.set_reason(reason);
  return record;
}

inline v1::Record ChooseWitness(const Writer& witness) {
  v1::Record record;
  record.mutable_witness_chosen()->set_router(witness.id);
  record.mutable_witness_chosen()->set_incarnation(witness.incarnation);
  return record;
}

inline v1::Record NarrowQuarantine(const Writer& retired, int64_t ceiling) {
  v1::Record record;
  v1::QuarantineNarrowed& narrowed = *record.mutable_quarantine_narrowed();
  narrowed.set_router(retired.id);
  narrowed.set_incarnation(retired.incarnation);
  narrowed.add_ceilings()->set_budget("tours");
  narrowed.mutable_ceilings(0)->set_tokens(ceiling);
  return record;
}

inline v1::Record FinalizeSpend(const Writer& retired,
                                int64_t spent,
                                int64_t transfers_pending = 0) {
  v1::Record record;
  v1::SpendFinalized& finalized = *record.mutable_spend_finalized();
  finalized.set_router(retired.id);
  finalized.set_incarnation(retired.incarnation);
  v1::FinalSpend& budget = *finalized.add_budgets();
  budget.set_budget("tours");
  budget.set_spent(spent);
  budget.set_transfers_pending(transfers_pending);
  return record;
}

inline v1::Record Release(const Writer& retired, int64_t tokens) {
  v1::Record record;
  v1::QuarantineReleased& released = *record.mutable_quarantine_released();
  released.set_router(retired.id);
  released.set_incarnation(retired.incarnation);
  released.set_budget("tours");
  released.set_tokens(tokens);
  return record;
}

inline v1::Record Transfer(const Writer& from,
                           const Writer& to,
                           uint64_t transfer_id,
                           int64_t tokens) {
  v1::Record record;
  v1::TransferRecorded& transfer = *record.mutable_transfer_recorded();
  transfer.set_from_router(from.id);
  transfer.set_from_incarnation(from.incarnation);
  transfer.set_to_router(to.id);
  transfer.set_to_incarnation(to.incarnation);
  transfer.set_transfer_id(transfer_id);
  transfer.set_budget("tours");
  transfer.set_tokens(tokens);
  return record;
}

inline v1::Record OrderModel(const std::string& upstream) {
  v1::Record record;
  record.mutable_order_issued()->set_upstream(upstream);
  record.mutable_order_issued()->set_load_model("m");
  return record;
}

inline v1::Record SnapshotAt(const Fold& fold, uint64_t digest) {
  v1::Record record;
  record.mutable_snapshot()->set_offset(fold.next_offset().value());
  record.mutable_snapshot()->set_digest(digest);
  return record;
}

/// @brief A log with 1,000 prepaid tokens, an operator and three routers.
struct Fleet : TestLog {
  Writer alice{"operator:alice", 11};
  Writer r1{"r1", 1};
  Writer r2{"r2", 2};
  Writer r3{"r3", 3};

  explicit Fleet(v1::ReleasePolicy release = v1::ON_PROOF,
                 uint32_t gate_reserve_permille = 0) {
    Write(alice, Publish(0, 1000, "c1", release, gate_reserve_permille));
    Write(r1, Join());
    Write(r2, Join());
    Write(r3, Join());
  }

  /// @brief Writes an entry of a router, which shows how far it has read.
  std::vector<Effect> ConfirmRead(Writer& router) {
    v1::Record record;
    record.mutable_config_confirmed()->set_version(
        fold().config_version().value());
    return Write(router, record);
  }

  /// @return the effects of all routers reading to the end
  std::vector<Effect> ConfirmReadByAll() {
    std::vector<Effect> all;
    for (Writer* router : {&r1, &r2, &r3}) {
      for (Effect& effect : ConfirmRead(*router)) {
        all.push_back(std::move(effect));
      }
    }
    return all;
  }

  /// @brief r1 is granted 100 tokens, chooses r2 as witness, spends 30 and is
  /// retired as silent.
  void RetireFirstRouter() {
    Write(r1, RequestAllotment(100));
    Write(r1, ChooseWitness(r2));
    Write(r1, Spend(30));
    Write(r3, Retire(r1, r1.sequence));
  }

  const Holding& holding(const Writer& router) {
    const Holding* holding = fold().FindHolding(
        core::Incarnation(router.incarnation), core::BudgetId("tours"));
    CHECK(holding != nullptr);
    return *holding;
  }
};

}  // namespace coppervalve::ledger

#endif  // TESTS_LEDGER_TEST_LOG_H_
