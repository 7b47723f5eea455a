#ifndef COPPERVALVE_MEMBERSHIP_MEMBER_H_
#define COPPERVALVE_MEMBERSHIP_MEMBER_H_

#include <compare>   // operator<=>
#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <string>    // string

#include "coppervalve/core/ids.h"

namespace coppervalve::membership {

using RegionId = core::TextId<struct RegionTag>;

/// @brief Identifies one incarnation of a router.
struct MemberId {
  core::RouterId router;
  core::Incarnation incarnation;

  friend auto operator<=>(const MemberId&, const MemberId&) = default;
};

/// @brief Phase of a member in the log. Retired routers are not members.
enum class MemberPhase : uint8_t { kActive, kDraining };

/// @brief A member according to the fold of the log.
struct Member {
  MemberId id;
  std::string caller_address;
  std::string peer_address;
  std::string operator_address;
  core::FailureDomainId failure_domain;
  RegionId region;
  MemberPhase phase = MemberPhase::kActive;
  core::Sequence last_sequence;     ///< of its latest applied entry
  std::optional<MemberId> witness;  ///< according to the fold
  bool voter = true;                ///< see ledger::Fold::IsVoter()
};

/// @brief Name of a member in rendezvous hashing.
std::string RendezvousName(const MemberId& id);

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_MEMBER_H_
