#ifndef COPPERVALVE_MEMBERSHIP_WITNESS_SELECTOR_H_
#define COPPERVALVE_MEMBERSHIP_WITNESS_SELECTOR_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint64_t
#include <optional>  // optional
#include <variant>   // variant
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/membership/member.h"
#include "coppervalve/membership/peer_view.h"

namespace coppervalve::membership {

struct WitnessLimits {
  /// The witness is replaced after being unreachable for this long.
  core::Duration replace_after = std::chrono::seconds(2);
  /// When no candidate is reachable, the router continues without a witness
  /// after this time.
  core::Duration give_up_after = std::chrono::seconds(5);
  /// A witness in this router's failure domain is replaced when a candidate in
  /// another domain has been available for this long.
  core::Duration upgrade_after = std::chrono::seconds(10);
  /// Maximum number of routers per witness, while another candidate has fewer.
  size_t max_witnessed = 8;
};

struct KeepWitness {};
struct ChooseWitness {
  MemberId witness;
};
/// @brief Continue without a witness: the whole holding may be spent.
struct ChooseNoWitness {};

using WitnessVerdict =
    std::variant<KeepWitness, ChooseWitness, ChooseNoWitness>;

/// @brief Selects the peer that stores this router's ceilings.
class WitnessSelector {
 public:
  explicit WitnessSelector(Member self, WitnessLimits limits = {});

  /// @param current the witness in force, or the candidate chosen last
  /// @param peers all peers, with reachability; never this router itself
  /// @complexity O(n)
  WitnessVerdict Evaluate(core::TimePoint now,
                          const std::optional<MemberId>& current,
                          const std::vector<Peer>& peers);

 private:
  struct Candidate {
    MemberId id;
    bool other_domain = false;
    size_t excess_witnessed = 0;  // above max_witnessed
    uint64_t rank = 0;
  };

  static bool IsBetter(const Candidate& a, const Candidate& b);
  std::optional<Candidate> BestCandidate(const std::vector<Peer>& peers) const;
  bool UpgradeDue(core::TimePoint now,
                  const Peer& current,
                  const std::optional<Candidate>& best);
  WitnessVerdict Replace(core::Duration unavailable_for,
                         const Peer* current,
                         const std::optional<Candidate>& best);

  Member m_self;
  WitnessLimits m_limits;
  std::optional<core::TimePoint> m_unavailable_since;
  std::optional<core::TimePoint> m_upgrade_possible_since;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_WITNESS_SELECTOR_H_
