#ifndef COPPERVALVE_LEDGER_DETAIL_QUORUM_H_
#define COPPERVALVE_LEDGER_DETAIL_QUORUM_H_

#include <deque>     // deque
#include <map>       // map
#include <optional>  // optional
#include <variant>   // variant

#include "coppervalve/core/ids.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::ledger::detail {

struct VoterJoins {
  core::Incarnation incarnation;
};
struct VoterLeaves {
  core::Incarnation incarnation;
};
struct Proposal {
  v1::ConfigPublished published;
};

/// @brief A change that takes effect once enough voters have read it.
struct PendingChange {
  core::LogOffset offset;  ///< of the entry that asked for it
  std::variant<VoterJoins, VoterLeaves, Proposal> change;
};

/// @brief The router incarnations whose reading counts, and the changes that
/// wait until more than half of them have read them.
///
/// Changes take effect in log order. The set of voters itself changes only that
/// way, one voter at a time, so that two majorities always share a voter.
class Quorum {
 public:
  /// @brief A voter wrote an entry when it had read up to `seen`.
  void OnSeen(core::Incarnation incarnation, core::LogOffset seen);
  void AddPending(PendingChange pending) {
    m_pending.push_back(std::move(pending));
  }
  /// @brief Removes the oldest change if it has its majority.
  /// @complexity linear in the voters
  std::optional<PendingChange> TakeReadyChange();

  void Add(core::Incarnation incarnation, core::LogOffset seen);
  void Remove(core::Incarnation incarnation) { m_voters.erase(incarnation); }
  /// @brief A router started again: the new incarnation votes for it at once.
  void Replace(core::Incarnation older,
               core::Incarnation newer,
               core::LogOffset seen);

  bool IsVoter(core::Incarnation incarnation) const {
    return m_voters.contains(incarnation);
  }
  /// @return the proposal that waits, if any
  const Proposal* PendingProposal() const;

  const std::map<core::Incarnation, core::LogOffset>& voters() const {
    return m_voters;
  }
  const std::deque<PendingChange>& pending() const { return m_pending; }

 private:
  bool HasMajority(core::LogOffset offset) const;

  std::map<core::Incarnation, core::LogOffset> m_voters;
  std::deque<PendingChange> m_pending;
};

}  // namespace coppervalve::ledger::detail

#endif  // COPPERVALVE_LEDGER_DETAIL_QUORUM_H_
