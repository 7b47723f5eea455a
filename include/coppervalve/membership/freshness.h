#ifndef COPPERVALVE_MEMBERSHIP_FRESHNESS_H_
#define COPPERVALVE_MEMBERSHIP_FRESHNESS_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint8_t
#include <optional>  // optional
#include <variant>   // variant
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::membership {

/// @brief What one contact says about the log. One per contact, heard or not.
struct PeerLogReport {
  bool reachable = false;
  /// Whether it counts towards the majority: not one that is a contact only
  /// because it was heard, which would count for and never against.
  bool counts = true;
  /// Latest time at which the peer is known to have read the log to its end,
  /// on this router's clock; none when it never said so.
  std::optional<core::TimePoint> read_to_end;
  /// The same by its latest heartbeat, which may have been late on its way.
  std::optional<core::TimePoint> claimed_read_to_end;
  core::ConfigVersion config_version;
  core::ConfigVersion known_version{};  ///< above it while a proposal is known
};

/// @brief Why a router is fresh.
enum class FreshBasis : uint8_t {
  kOwnReading,
  kConfirmedByPeer,  ///< by a peer that read to the end
  kLogUnavailable,   ///< more than half reachable, none can read
};

/// @brief Why a router is stale.
enum class StaleReason : uint8_t {
  kNeverRead,     ///< it has not yet read to the end once
  kNewerVersion,  ///< a peer has a newer configuration
  kNotConfirmed,  ///< peers read the log, but none vouches for this version
  kMinority,      ///< it reaches half of the members or less
};

struct Fresh {
  FreshBasis basis = FreshBasis::kOwnReading;
};

struct Stale {
  core::TimePoint since;
  StaleReason why = StaleReason::kNeverRead;
};

using FreshnessVerdict = std::variant<Fresh, Stale>;

/// @brief What Freshness judges by.
struct FreshnessInputs {
  core::ConfigVersion config_version;  ///< in force here
  size_t voters = 1;                   ///< of the fold, this router included
  bool sampled = false;                ///< log_reports cover a sample only
  std::vector<PeerLogReport> log_reports;
  bool self_votes = true;
  core::ConfigVersion known_version{};  ///< above it while a proposal is known
};

/// @brief Whether this router may take new work under its configuration.
class Freshness {
 public:
  explicit Freshness(core::Duration bound);

  void SetBound(core::Duration bound) { m_bound = bound; }
  /// @brief A read reached the end of the log.
  /// @param issued when the read was issued, not when its reply was handled
  void OnReadToEnd(core::TimePoint issued);
  /// @return the verdict at `now`, on a clock that runs through suspend
  /// @complexity linear in the number of log_reports
  FreshnessVerdict Evaluate(core::TimePoint now, const FreshnessInputs& inputs);
  /// @return whether the own reading alone shows that nothing newer is in
  /// force; then Evaluate() needs no log_reports
  bool ReadRecently(core::TimePoint now) const;
  /// @return how long ago the last read to the end was issued; none: never
  std::optional<core::Duration> LogAge(core::TimePoint now) const;

 private:
  std::variant<FreshBasis, StaleReason> Decide(
      core::TimePoint now,
      const FreshnessInputs& inputs) const;
  bool IsRecent(core::TimePoint now, std::optional<core::TimePoint> read) const;

  core::Duration m_bound;
  std::optional<core::TimePoint> m_read_to_end;
  std::optional<core::TimePoint> m_stale_since;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_FRESHNESS_H_
