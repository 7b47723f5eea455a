#ifndef COPPERVALVE_ENTRY_MEMBER_LIST_H_
#define COPPERVALVE_ENTRY_MEMBER_LIST_H_

#include <cstdint>      // uint32_t
#include <map>          // map
#include <set>          // set
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/active_set.h"
#include "coppervalve/entry/peer_contact.h"
#include "coppervalve/entry/store_contact.h"

namespace coppervalve::entry {

/// @brief The routers of the fleet as their beats tell, for the list of
/// addresses that callers get and for shares of common bounds.
class MemberList {
 public:
  /// @param silence after which a router that is heard of through a store in
  /// good order counts as dead
  /// @param least_active routers that callers are led to, where there are
  MemberList(core::RouterId self,
             core::Duration silence,
             const PeerContact& peers,
             size_t least_active = ActiveNeed{}.least)
      : m_self(std::move(self)),
        m_silence(silence),
        m_peers(peers),
        m_least_active(least_active) {}

  void OnBeat(const core::RouterId& router,
              const v1::RouterBeat& beat,
              core::TimePoint now);
  /// @param contact with the topic that the beats are read from: only while it
  /// is read does silence count, and while no other router is heard at all, the
  /// list stays for a while as it was
  void Advance(const StoreContact& contact, core::TimePoint now);

  /// @return callers' addresses of the active routers
  std::vector<std::string> Addresses() const;
  /// @return where the other active routers take load reports
  std::vector<std::string> LoadAddresses() const;
  /// @return routers that callers are led to; at least 1
  uint32_t Active() const;
  /// @return whether this router is one of them
  bool SelfActive() const { return m_active.contains(m_self); }
  /// @return whether it is one, or would be if as many more were needed
  bool SelfInTurn() const { return m_self_in_turn; }
  /// @return the most upstreams that a live router knows
  size_t Upstreams() const;
  /// @return active routers that are chosen before this one for a key, without
  /// talking; for an active router as many as all others count, as far as their
  /// lists agree
  uint32_t ActiveAbove(std::string_view key) const;
  /// @return a number that changes with the set of active routers
  uint64_t ActiveVersion() const { return m_active_version; }
  /// @return whether this router is the one active router that all choose for
  /// a key without talking, as far as their lists agree
  bool SelfOwns(std::string_view key) const;
  /// @return where a live router takes datagrams; empty when it doesn't
  std::string LoadAddressOf(const core::RouterId& router) const;
  /// @return routers that may be serving, this one included; at least 1
  uint32_t Live() const;

 private:
  struct Member {
    std::string address;
    std::string load_address;
    core::FailureDomainId failure_domain;
    double capacity = 0;
    double load = 0;
    uint32_t upstreams = 0;
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    bool ready = false;
    bool leaving = false;
    bool live = true;
    core::Duration silent_for{};
  };
  core::Duration LeastSilence() const;
  void DropSilent();
  void ChooseActiveAgain(core::TimePoint now);
  double Load() const;

  core::RouterId m_self;
  core::Duration m_silence;
  const PeerContact& m_peers;
  size_t m_least_active;
  std::map<core::RouterId, Member> m_members;
  std::set<core::RouterId> m_active;
  uint64_t m_active_version = 1;
  bool m_self_in_turn = false;
  double m_need = 0;  ///< requests a second that the active ones must take
  core::TimePoint m_advanced{};
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_MEMBER_LIST_H_
