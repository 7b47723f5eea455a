#ifndef COPPERVALVE_MEMBERSHIP_SILENT_MEMBER_DETECTOR_H_
#define COPPERVALVE_MEMBERSHIP_SILENT_MEMBER_DETECTOR_H_

#include <cstddef>   // size_t
#include <map>       // map
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/membership/member.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::membership {

struct RetirementLimits {
  core::Duration retire_after = std::chrono::seconds(10);
  /// Largest silence that a single read can add to a member.
  core::Duration max_read_gap = std::chrono::milliseconds(1'500);
  /// If this router has had no entry of its own in the log for this long, no
  /// silence is counted: appends may be failing for all routers.
  core::Duration max_own_entry_age = std::chrono::seconds(5);
  /// Delay between consecutive observers in the rendezvous order of a silent
  /// member.
  core::Duration stagger = std::chrono::milliseconds(500);
  /// Delay before a record that has not appeared in the log is issued again.
  core::Duration report_again_after = std::chrono::seconds(5);
  int draining_factor = 2;     ///< on retire_after, for a draining member
  int most_silent_factor = 3;  ///< on retire_after, if over half are silent
};

/// @brief Detects members that have been silent in the log long enough to be
/// retired (RouterRetired).
class SilentMemberDetector {
 public:
  explicit SilentMemberDetector(MemberId self, RetirementLimits limits = {});

  void SetRetireAfter(core::Duration retire_after);
  /// @brief Call after each read that reached the end of the log, once its
  /// entries are applied.
  /// @param issued when that read was issued
  /// @param members live members of the fold, with their last sequences
  /// @complexity O(n log n)
  void OnReadToEnd(core::TimePoint issued, const std::vector<Member>& members);
  /// @brief Records to append now. A record that does not appear in the fold is
  /// issued again later.
  /// @complexity O(n), and O(n) more once for each member that becomes silent
  std::vector<v1::RouterRetired> TakeDue(core::TimePoint now);

 private:
  struct TrackedMember {
    std::string name;  // for rendezvous hashing
    core::Sequence last_sequence;
    core::Duration silent{};  // counted while this router reads and appends
    MemberPhase phase = MemberPhase::kActive;
    std::optional<size_t> own_rank;  // among its observers, once silent
    std::optional<core::TimePoint> reported_at;
  };

  void ObserveSelf(core::TimePoint issued, const Member& self);
  void Observe(const Member& member, core::Duration silence);
  core::Duration CountedSilence(core::TimePoint issued) const;
  core::Duration TimeoutFor(const TrackedMember& tracked,
                            bool most_silent) const;
  bool MostAreSilent() const;
  bool IsDue(core::TimePoint now,
             TrackedMember& tracked,
             bool most_silent) const;
  size_t OwnRank(const TrackedMember& target) const;
  bool IsSilent(const TrackedMember& tracked) const;

  MemberId m_self;
  RetirementLimits m_limits;
  std::map<MemberId, TrackedMember> m_tracked;  // excluding this router
  std::string m_name;
  bool m_is_member = false;
  MemberPhase m_own_phase = MemberPhase::kActive;
  core::Sequence m_own_sequence;
  std::optional<core::TimePoint> m_own_entry_read;
  std::optional<core::TimePoint> m_last_read;
};

}  // namespace coppervalve::membership

#endif  // COPPERVALVE_MEMBERSHIP_SILENT_MEMBER_DETECTOR_H_
