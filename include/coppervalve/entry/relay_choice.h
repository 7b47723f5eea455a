#ifndef COPPERVALVE_ENTRY_RELAY_CHOICE_H_
#define COPPERVALVE_ENTRY_RELAY_CHOICE_H_

#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <utility>        // move
#include <vector>         // vector

#include "coppervalve/core/units.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::entry {

/// @brief Chooses the router through which an upstream is reached that this
/// router can't reach itself.
class RelayChoice {
 public:
  /// @param pause time for which a router that failed is not chosen
  RelayChoice(core::Duration pause, routing::RandomSource random)
      : m_pause(pause), m_random(std::move(random)) {}

  /// @param peers "ip:port" of the routers that may be chosen
  /// @param excluded those that may not
  /// @return one of them at random; none if all others have failed recently
  std::optional<std::string> Choose(const std::vector<std::string>& peers,
                                    const std::vector<std::string>& excluded,
                                    core::TimePoint now) const;
  /// @brief A router could not be reached or does not relay at present.
  void OnFailed(const std::string& peer, core::TimePoint now);

 private:
  core::Duration m_pause;
  routing::RandomSource m_random;
  std::unordered_map<std::string, core::TimePoint> m_failed;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_RELAY_CHOICE_H_
