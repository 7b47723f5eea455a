#ifndef COPPERVALVE_LEDGER_MEMBER_H_
#define COPPERVALVE_LEDGER_MEMBER_H_

#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/ledger/budget.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::ledger {

using Holdings = std::unordered_map<core::BudgetId, Holding>;

/// @brief One router incarnation that has joined.
struct Member {
  core::RouterId id;
  core::Incarnation incarnation;
  core::Sequence last_sequence;
  v1::RouterPhase phase = v1::ACTIVE;
  v1::RouterJoined joined;  ///< addresses, failure domain, version
  core::LogOffset joined_offset;
  core::LogOffset last_offset;
  core::LogOffset retired_offset;  ///< valid only after retirement
  core::RouterId witness;          ///< empty: no witness
  core::Incarnation witness_incarnation;
  core::ConfigVersion confirmed_config;
  v1::RetireReason retire_reason = v1::RETIRE_REASON_UNSPECIFIED;
  bool finalized = false;  ///< has reported its final spend
  Holdings holdings;

  bool live() const { return phase != v1::RETIRED; }
};

}  // namespace coppervalve::ledger

#endif  // COPPERVALVE_LEDGER_MEMBER_H_
