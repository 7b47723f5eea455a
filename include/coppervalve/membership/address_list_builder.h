#ifndef COPPERVALVE_MEMBERSHIP_ADDRESS_LIST_BUILDER_H_
#define COPPERVALVE_MEMBERSHIP_ADDRESS_LIST_BUILDER_H_

#include <cstddef>     // size_t
#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/membership/member.h"
#include "coppervalve/membership/peer_view.h"
#include "coppervalve/operator.pb.h"

namespace coppervalve::membership {

struct AddressLimits {
  core::Duration lifetime = std::chrono::seconds(10);
  size_t max_addresses = 8;
};

/// @brief State of this router as a candidate for the list.
struct OwnState {
  bool listed = true;  ///< false once it is draining, stale or retired
  PeerLoad load = {};
};

/// @brief Builds the lists of router addresses that callers request.
class AddressListBuilder {
 public:
  /// @param key_prefix returns the idempotency key prefix of an incarnation
  AddressListBuilder(Member self,
                     std::function<std::string(const MemberId&)> key_prefix,
                     AddressLimits limits = {});

  void SetLifetime(core::Duration lifetime);
  /// @brief Addresses for an account, best first: routers in this router's
  /// failure domain before others; within a domain in the order of rendezvous
  /// hashing of the account, weighted by load. Draining, unreachable and
  /// retired routers are left out.
  /// @complexity O(n log n)
  v1::AddressList AddressesFor(const core::AccountId& account,
                               const OwnState& own,
                               const std::vector<Peer>& peers) const;

 private:
  struct Candidate;
  std::vector<Candidate> CandidatesFor(const core::AccountId& account,
                                       const OwnState& own,
                                       const std::vector<Peer>& peers) const;

  Member m_self;
  std::function<std::string(const MemberId&)> m_key_prefix;
  AddressLimits m_limits;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_ADDRESS_LIST_BUILDER_H_
