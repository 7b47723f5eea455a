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

/// @brief What one contact reports about the log. One per contact, including
/// contacts from which no heartbeat was ever received.
struct PeerLogReport {
  bool reachable = false;
  /// Whether the contact counts towards the majority. A peer that is a contact
  /// only because it sends heartbeats here does not: when unreachable, it would
  /// no longer be a contact, so it could only ever count as reachable.
  bool counts = true;
  /// Latest time, on this router's clock, at which the peer is known to have
  /// read the log to its end; empty when it never reported that.
  std::optional<core::TimePoint> read_to_end;
  /// The same according to its latest heartbeat, which may have been delayed.
  std::optional<core::TimePoint> claimed_read_to_end;
  core::ConfigVersion config_version;
  core::ConfigVersion known_version{};  ///< higher while a proposal is pending
};

/// @brief Why a router is fresh.
enum class FreshBasis : uint8_t {
  kOwnReading,
  kConfirmedByPeer,  ///< by a peer that recently read to the end
  kLogUnavailable,   ///< a majority is reachable, none can read the log
};

/// @brief Why a router is stale.
enum class StaleReason : uint8_t {
  kNeverRead,     ///< it has never read to the end
  kNewerVersion,  ///< a peer has a newer configuration
  kNotConfirmed,  ///< peers read the log, but none confirms this version
  kMinority,      ///< it reaches no more than half of the members
};

struct Fresh {
  FreshBasis basis = FreshBasis::kOwnReading;
};

struct Stale {
  core::TimePoint since;
  StaleReason why = StaleReason::kNeverRead;
};

using FreshnessVerdict = std::variant<Fresh, Stale>;

/// @brief Inputs of Freshness::Evaluate().
struct FreshnessInputs {
  core::ConfigVersion config_version;  ///< in force here
  size_t voters = 1;                   ///< in the fold, including this router
  bool sampled = false;                ///< log_reports cover a sample only
  std::vector<PeerLogReport> log_reports;
  bool self_votes = true;
  core::ConfigVersion known_version{};  ///< higher while a proposal is pending
};

/// @brief Decides whether this router may accept new work under its
/// configuration.
class Freshness {
 public:
  explicit Freshness(core::Duration bound);

  void SetBound(core::Duration bound) { m_bound = bound; }
  /// @brief Records that a read reached the end of the log.
  /// @param issued when the read was issued, not when its reply was handled
  void OnReadToEnd(core::TimePoint issued);
  /// @return the verdict at `now`; the clock must advance during suspend
  /// @complexity linear in the number of reports
  FreshnessVerdict Evaluate(core::TimePoint now, const FreshnessInputs& inputs);
  /// @return whether this router's own reading is recent enough to show that
  /// nothing newer is in force; then Evaluate() needs no reports
  bool ReadRecently(core::TimePoint now) const;
  /// @return the time since the last read to the end was issued; empty when
  /// there was none
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
