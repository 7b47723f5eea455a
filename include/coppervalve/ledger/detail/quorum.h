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

/// @brief A change that takes effect once more than half of the voters have
/// read it.
struct PendingChange {
  core::LogOffset offset;  ///< of the entry that contains the change
  std::variant<VoterJoins, VoterLeaves, Proposal> change;
};

/// @brief The voters, and the changes that are pending until more than half of
/// the voters have read them.
///
/// Changes take effect in log order. The set of voters is itself changed in
/// this way, one voter at a time, so that any two majorities share a voter.
class Quorum {
 public:
  /// @brief Records that a voter had read the log up to `seen` when it wrote an
  /// entry.
  void OnSeen(core::Incarnation incarnation, core::LogOffset seen);
  void AddPending(PendingChange pending) {
    m_pending.push_back(std::move(pending));
  }
  /// @brief Removes and returns the oldest pending change if a majority has
  /// read it.
  /// @complexity linear in the voters
  std::optional<PendingChange> TakeReadyChange();

  void Add(core::Incarnation incarnation, core::LogOffset seen);
  void Remove(core::Incarnation incarnation) { m_voters.erase(incarnation); }
  /// @brief Replaces the incarnation of a restarted router; the new incarnation
  /// is a voter at once if the older one was.
  void Replace(core::Incarnation older,
               core::Incarnation newer,
               core::LogOffset seen);

  bool IsVoter(core::Incarnation incarnation) const {
    return m_voters.contains(incarnation);
  }
  /// @return the pending proposal, or null
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
