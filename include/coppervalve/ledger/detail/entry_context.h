#ifndef COPPERVALVE_LEDGER_DETAIL_ENTRY_CONTEXT_H_
#define COPPERVALVE_LEDGER_DETAIL_ENTRY_CONTEXT_H_

#include <cstddef>   // size_t
#include <optional>  // optional
#include <utility>   // move
#include <vector>    // vector

#include "coppervalve/core/error.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/ledger/detail/holding_ref.h"
#include "coppervalve/ledger/detail/state.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/ledger/member.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::ledger::detail {

/// @brief State shared by the records of one entry while it is applied.
class EntryContext {
 public:
  EntryContext(State& state, core::LogOffset offset, const v1::Entry& entry);

  State& state() { return m_state; }
  core::LogOffset offset() const { return m_offset; }
  const v1::Entry& entry() const { return m_entry; }
  core::Sequence sequence() const { return core::Sequence(m_entry.sequence()); }
  bool from_operator() const { return m_from_operator; }
  /// @brief Whether the writer last read the log more than the dedup window
  /// ago. Ids that it repeats may already have been removed.
  bool stale() const { return m_stale; }

  /// @brief The writing router; null for operators.
  Member* writer() { return m_writer; }
  void set_writer(Member* writer) { m_writer = writer; }

  void Emit(Effect effect) { m_effects.push_back(std::move(effect)); }
  void Ignore(IgnoreReason reason);
  void Fail(core::Error error);
  /// @brief Finds a budget of a record. When unknown, emits an effect and
  /// returns null.
  Budget* BudgetOrIgnore(const std::string& id);
  /// @brief Finds a member of a record. When unknown, emits an effect and
  /// returns null.
  Member* MemberOrIgnore(const std::string& id, uint64_t incarnation);
  /// @brief Returns the holding of a member, created when absent. FinishEntry()
  /// checks the holding and its budget.
  HoldingRef GetOrCreateHolding(Member& member, Budget& budget);

  /// @brief Checks the modified holdings and budgets, and removes retired
  /// members that hold nothing any more.
  void FinishEntry();
  const std::optional<core::Error>& failure() const { return m_failure; }
  std::vector<Effect> TakeEffects() { return std::move(m_effects); }

 private:
  struct ModifiedHolding {
    core::Incarnation incarnation;
    HoldingRef ref;
  };

  State& m_state;
  core::LogOffset m_offset;
  const v1::Entry& m_entry;
  bool m_from_operator;
  bool m_stale;
  Member* m_writer = nullptr;
  std::vector<Effect> m_effects;
  std::vector<ModifiedHolding> m_modified;
  std::optional<core::Error> m_failure;
};

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_ENTRY_CONTEXT_H_
