#ifndef COPPERVALVE_ENTRY_CRASH_RECORD_H_
#define COPPERVALVE_ENTRY_CRASH_RECORD_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint8_t, uint32_t
#include <deque>    // deque
#include <map>      // map
#include <set>      // set
#include <tuple>    // tuple
#include <vector>   // vector

#include "coppervalve/beat.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/request_fingerprint.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::entry {

/// @brief Identifies one start of an upstream in messages between routers.
using UpstreamStart = core::NumberId<struct UpstreamStartTag>;
UpstreamStart StartOf(const UpstreamEntry& entry);

/// @brief How a request is treated, given the upstreams that terminated while
/// running it.
enum class QuarantineState : uint8_t {
  kClear,        ///< no terminations, or too few
  kSuspect,      ///< one more termination quarantines it: tried alone, never
                 ///< repeated
  kQuarantined,  ///< not sent to any upstream
};

/// @brief Constants of the quarantine.
struct CrashOptions {
  /// Terminations until a request is quarantined, and until it is suspect. A
  /// single termination proves nothing, and two in a row can be a coincidence.
  size_t quarantine_threshold = 3;
  size_t suspect_threshold = 2;
  /// Terminations within this time of each other may have one cause, such as a
  /// rack failure, and do not quarantine a request on their own.
  core::Duration event_window{1'000'000};
  /// How long a termination is remembered that led to no quarantine.
  core::Duration suspicion_time{60'000'000};
  /// Duration of the first quarantine; doubled each time that a trial
  /// afterwards terminates an upstream again. Quarantines end because a release
  /// may fix the fault.
  core::Duration first_quarantine{600'000'000};
  /// A broken response counts if its upstream is known to have terminated
  /// within this time: entries expire after some seconds of silence.
  core::Duration detection_time{8'000'000};
  /// How long a termination is reported to other routers: longer than
  /// disconnections from the store last. The terminations that quarantined a
  /// request are reported for as long as the quarantine lasts.
  core::Duration report_time{15'000'000};
  size_t max_requests = 2'048;
  size_t max_reported = 64;
};

/// @brief Records the requests that were running when upstreams terminated, as
/// seen by this router and as reported by all others. Requests are identified
/// by content: one that crashes its upstreams is retried at any router under a
/// new id, and each upstream on its own looks like a coincidental crash.
///
/// The reports of a router are part of its heartbeat: writing one again changes
/// nothing, the store keeps the newest, and every router reads it.
class CrashRecord {
 public:
  explicit CrashRecord(CrashOptions options) : m_options(options) {}

  /// @return whether no terminations are recorded
  bool empty() const { return m_cases.empty(); }
  /// @return false if no request with this hash is recorded; avoids computing
  /// the full fingerprint
  /// @complexity logarithmic, like all members but those for heartbeats
  bool MayContain(uint64_t quick_hash) const;
  QuarantineState QuarantineStateOf(const RequestFingerprint& request) const;
  /// @return time until a quarantined request may be tried again; 0 if it is
  /// not quarantined
  core::Duration RemainingQuarantine(const RequestFingerprint& request,
                                     core::TimePoint now) const;

  /// @brief Begins a trial of a request. At most one trial of it runs at a
  /// time.
  /// @return false if one is running; otherwise EndTrial() must follow
  bool BeginTrial(const RequestFingerprint& request);
  void EndTrial(const RequestFingerprint& request) { m_trials.erase(request); }

  /// @brief A response broke off or timed out.
  void OnBroken(const RequestFingerprint& request,
                UpstreamStart start,
                core::TimePoint now);
  /// @brief A start of an upstream is known to have terminated.
  /// @return the requests that the termination counts against
  std::vector<RequestFingerprint> OnTerminated(UpstreamStart start,
                                               core::TimePoint now);
  /// @brief An upstream completed the request, so the terminations had other
  /// causes.
  /// @return whether the change should be reported to other routers soon
  bool OnSurvived(const RequestFingerprint& request, core::TimePoint now);

  /// @brief Adds the reports for other routers to a heartbeat.
  void AddReportsTo(v1::RouterBeat& beat, core::TimePoint now) const;
  /// @brief Merges the heartbeat of another router. Lists beyond the maximum
  /// sizes are truncated.
  /// @return requests that are quarantined as a result
  std::vector<RequestFingerprint> OnHeartbeat(const v1::RouterBeat& beat,
                                              core::TimePoint now);
  /// @brief Restores this router's own reports from the last heartbeat before
  /// its restart.
  void RestoreOwnReports(const v1::RouterBeat& beat, core::TimePoint now);
  /// @brief Drops expired records. To be called periodically.
  void Advance(core::TimePoint now);

  size_t quarantined() const;

 private:
  enum class TerminationState : uint8_t {
    kCounts,
    kSurvived,  ///< an upstream completed the request since
    kExpired,   ///< the quarantine it led to is over
  };
  struct Termination {
    core::TimePoint since;  ///< when it entered this state
    TerminationState state = TerminationState::kCounts;
    bool own = false;  ///< this router observed the cause of the state
  };
  struct Case {
    std::map<UpstreamStart, Termination> terminations;
    core::TimePoint changed;
    /// The terminations belong to more than one event.
    bool separate_events = false;
    bool probation = false;
    bool quarantined = false;
    uint32_t quarantine_count = 0;  ///< number of quarantines so far
    core::TimePoint quarantined_at;
  };
  struct BrokenRun {
    core::TimePoint at;
    UpstreamStart start;
    RequestFingerprint request;
  };

  /// Order in which cases are kept and reported: quarantined first, then by
  /// number of terminations, then by last change.
  using Priority = std::tuple<bool, size_t, core::TimePoint>;
  static Priority PriorityOf(const Case& crash_case);
  static size_t CountedTerminations(const Case& crash_case);
  Case& CaseOf(const RequestFingerprint& request, core::TimePoint now);
  void Add(const RequestFingerprint& request,
           UpstreamStart start,
           bool own,
           core::TimePoint now);
  void Evaluate(Case& crash_case, core::TimePoint now) const;
  core::Duration QuarantineTime(const Case& crash_case) const;
  static void SetTerminationState(Case& crash_case,
                                  TerminationState state,
                                  bool own,
                                  core::TimePoint now);
  bool IsReported(const Case& crash_case,
                  const Termination& termination,
                  core::TimePoint now) const;
  v1::CrashCase ReportOf(const RequestFingerprint& request,
                         const Case& crash_case,
                         core::TimePoint now) const;
  void Merge(const v1::CrashCase& report, bool own, core::TimePoint now);
  void MergeSurvived(Case& crash_case,
                     const v1::CrashCase& report,
                     bool own,
                     core::TimePoint now);

  CrashOptions m_options;
  std::map<RequestFingerprint, Case> m_cases;
  std::set<RequestFingerprint> m_trials;
  std::deque<BrokenRun> m_broken_runs;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CRASH_RECORD_H_
