#ifndef COPPERVALVE_ENTRY_PLACEMENT_SEARCH_H_
#define COPPERVALVE_ENTRY_PLACEMENT_SEARCH_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint32_t
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/units.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::entry {

/// @brief Remembers for some seconds which routers had no current copy of the
/// upstream table, or did not reply.
class OutdatedPeers {
 public:
  void OnReply(const std::string& address, bool current, core::TimePoint now);
  bool Contains(const std::string& address, core::TimePoint now) const;

 private:
  std::unordered_map<std::string, core::TimePoint> m_seen_at;
};

/// @brief Routers that follow the upstream table, by their addresses.
struct PlacementPeers {
  std::vector<std::string> active;
  /// Standbys that become active next; asked after the active ones.
  std::vector<std::string> next;
};

/// @brief Decides which routers to ask for one placement, one after the other,
/// and which of the replies to use.
///
/// The first reply from a current table ends the search. Routers that recently
/// had none are asked last. An outdated table may name upstreams that have
/// left; it is used only while the durable store does not answer this router,
/// as it may then be the best there is.
class PlacementSearch {
 public:
  /// Limit of the routers asked for one placement.
  static constexpr uint32_t kMaxAsked = 16;

  /// @param reaches_store whether the store answers the router that searches
  PlacementSearch(PlacementPeers peers,
                  const OutdatedPeers& outdated,
                  bool reaches_store,
                  core::TimePoint now);

  /// @return address of the router to ask now; none: the search has ended
  std::optional<std::string> Next(const routing::RandomSource& random);
  /// @brief A router replied, or did not in time.
  /// @param placement has no upstream if there was no reply, or none was chosen
  void OnReply(const Placement& placement);

  /// @return the reply to use, once the search has ended; without an upstream
  /// if there is none
  Placement Result() const;
  /// @return the routers asked so far, in order
  const std::vector<std::string>& asked() const { return m_asked; }

 private:
  std::optional<std::string> Take(std::vector<std::string>& addresses,
                                  const routing::RandomSource& random);

  PlacementPeers m_peers;
  std::vector<std::string> m_outdated;  ///< of both kinds, asked last
  std::vector<std::string> m_asked;
  bool m_reaches_store;
  size_t m_without_upstream = 0;
  bool m_found_current = false;
  Placement m_best;  ///< from the most recent table
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_PLACEMENT_SEARCH_H_
