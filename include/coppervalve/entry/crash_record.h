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
#include "coppervalve/entry/crash_rate.h"
#include "coppervalve/entry/recent_hashes.h"
#include "coppervalve/entry/request_fingerprint.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::entry {

/// @brief Identifies one start of an upstream in messages between routers.
using UpstreamStart = core::NumberId<struct UpstreamStartTag>;
UpstreamStart StartOf(const UpstreamEntry& entry);

/// @brief How a request is treated, given the upstreams that terminated while
/// running it or others with a part of its prompt. In order of severity.
enum class QuarantineState : uint8_t {
  kClear,        ///< no terminations, or too few
  kWatched,      ///< a part of its prompt is under suspicion: never repeated
  kSuspect,      ///< one more termination quarantines it: tried alone, never
                 ///< repeated
  kQuarantined,  ///< not sent to any upstream
};

/// @brief The trait of a request that decides how it is treated.
struct Suspicion {
  QuarantineState state = QuarantineState::kClear;
  RequestFingerprint trait;
  bool part = false;  ///< it is a part of the prompt
  /// Every router may try the request, not only the one that the trait selects:
  /// the other parts with the same evidence are not in its prompt.
  bool any_router = false;
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
  /// Terminations under requests with a part of a prompt until the router no
  /// longer repeats such requests. How many quarantine the part depends on how
  /// frequent crashes are.
  size_t watch_threshold = 2;
  /// A part that an upstream completed within this time is no cause of a crash.
  core::Duration innocence_time{2'000'000};
  /// A part crashes an upstream when it begins to write, not after this time.
  core::Duration max_writing_time{1'000'000};
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
  /// Verdicts must fit into a datagram.
  size_t max_verdicts = 16;
};

/// @brief Records the requests that were running when upstreams terminated, as
/// seen by this router and as reported by all others. Requests are identified
/// by content: one that crashes its upstreams is retried at any router under a
/// new id, and each upstream on its own looks like a coincidental crash. The
/// same is recorded of the parts of their prompts, as requests that crash
/// upstreams by a common part need not be alike otherwise.
///
/// The reports of a router are part of its heartbeat: writing one again changes
/// nothing, the store keeps the newest, and every router reads it.
class CrashRecord {
 public:
  explicit CrashRecord(CrashOptions options)
      : m_options(options), m_innocent_parts(options.innocence_time) {}

  /// @return whether no terminations are recorded
  bool empty() const { return m_cases.empty(); }
  /// @return false if no request with this hash is recorded; avoids computing
  /// the full fingerprint
  /// @complexity logarithmic, like all members but those for heartbeats
  bool MayContain(uint64_t quick_hash) const;
  QuarantineState QuarantineStateOf(const RequestFingerprint& trait) const;
  /// @return the most severe state of all traits of a request
  Suspicion Assess(const RequestTraits& request) const;
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
  /// @param writing how long the upstream had been writing the response
  void OnBroken(const RequestTraits& request,
                UpstreamStart start,
                core::TimePoint now,
                core::Duration writing = core::Duration::zero());
  /// @brief A start of an upstream is known to have terminated.
  /// @return the contents of the requests that it interrupted
  std::vector<RequestFingerprint> OnTerminated(UpstreamStart start,
                                               core::TimePoint now);
  /// @brief An upstream completed a request whose prompt has these parts.
  /// @param parts quick hashes
  void OnCompleted(const std::vector<uint64_t>& parts, core::TimePoint now);
  /// @brief An upstream completed a request with these traits, so the
  /// terminations had other causes.
  /// @return whether the change should be reported to other routers soon
  bool OnSurvived(const RequestTraits& request, core::TimePoint now);

  /// @brief Adds the reports for other routers to a heartbeat.
  void AddReportsTo(v1::RouterBeat& beat, core::TimePoint now) const;
  /// @brief Merges the heartbeat of another router. Lists beyond the maximum
  /// sizes are truncated.
  void OnHeartbeat(const v1::RouterBeat& beat, core::TimePoint now);
  /// @brief Restores this router's own reports from the last heartbeat before
  /// its restart.
  void RestoreOwnReports(const v1::RouterBeat& beat, core::TimePoint now);
  /// @return what routers that do not read heartbeats need to know: the traits
  /// that are quarantined, and those that were cleared lately
  std::vector<v1::CrashCase> Verdicts(core::TimePoint now) const;
  /// @brief Merges the verdicts of another router.
  void OnVerdicts(const std::vector<v1::CrashCase>& verdicts,
                  core::TimePoint now);
  /// @brief Drops expired records. To be called periodically.
  void Advance(core::TimePoint now);

  /// @return the traits that were quarantined since the last call
  std::vector<Suspicion> TakeNewlyQuarantined();
  size_t quarantined() const { return CountQuarantined(false); }
  size_t quarantined_parts() const { return CountQuarantined(true); }

 private:
  enum class TerminationState : uint8_t {
    kCounts,
    kSurvived,   ///< an upstream completed the request since
    kExplained,  ///< a quarantined part of a prompt caused it
    kExpired,    ///< the quarantine it led to is over
  };
  struct Termination {
    core::TimePoint since;  ///< when it entered this state
    TerminationState state = TerminationState::kCounts;
    bool own = false;  ///< this router observed the cause of the state
  };
  /// The evidence against one trait.
  struct Case {
    std::map<UpstreamStart, Termination> terminations;
    bool part = false;  ///< the trait is a part of a prompt
    core::TimePoint changed;
    /// The terminations belong to more than one event.
    bool separate_events = false;
    bool probation = false;
    bool quarantined = false;
    bool refused_elsewhere = false;
    /// Common to parts that were quarantined with the same evidence; 0 = none.
    uint32_t tie = 0;
    uint32_t quarantine_count = 0;  ///< number of quarantines so far
    core::TimePoint quarantined_at;
  };
  struct BrokenRun {
    core::TimePoint at;
    UpstreamStart start;
    RequestTraits request;
  };

  /// Order in which cases are kept and reported: quarantined first, then by
  /// number of terminations, then by last change.
  using Priority = std::tuple<bool, size_t, core::TimePoint>;
  static Priority PriorityOf(const Case& crash_case);
  static size_t CountedTerminations(const Case& crash_case);
  static size_t OwnTerminations(const Case& crash_case);
  size_t CountQuarantined(bool part) const;
  QuarantineState StateOf(const Case& crash_case) const;
  bool HoldsQuarantinedPart(const RequestTraits& request) const;
  bool IsOnlyTiedPart(const RequestTraits& request) const;
  Case& CaseOf(const RequestFingerprint& trait, bool part, core::TimePoint now);
  std::vector<RequestTraits> TakeInterrupted(UpstreamStart start,
                                             core::TimePoint now);
  bool IsExplained(UpstreamStart start,
                   const std::vector<RequestTraits>& interrupted) const;
  void Charge(const RequestTraits& request,
              UpstreamStart start,
              core::TimePoint now);
  void Add(const RequestFingerprint& trait,
           bool part,
           UpstreamStart start,
           bool own,
           core::TimePoint now);
  size_t TerminationsNeeded(const Case& crash_case) const;
  static size_t TerminationsToAgree(const Case& crash_case);
  bool Qualifies(Case& crash_case, core::TimePoint now) const;
  void EvaluateChanged(core::TimePoint now);
  /// @return whether a case counts all terminations that another one counts
  static bool CountsAllOf(const Case& crash_case, const Case& other);
  std::vector<RequestFingerprint> LikeliestCauses(const Case& suspect) const;
  void QuarantineParts(const std::vector<RequestFingerprint>& parts,
                       core::TimePoint now);
  void ResolveTies(core::TimePoint now);
  void Quarantine(const RequestFingerprint& trait,
                  Case& crash_case,
                  core::TimePoint now);
  void ExplainTerminations(const Case& cause, core::TimePoint now);
  void InsertCounted(const Case& cause);
  void EndQuarantine(Case& crash_case);
  void ResetVerdict(Case& crash_case);
  core::Duration QuarantineTime(const Case& crash_case) const;
  bool ClearSurvived(const RequestFingerprint& trait, core::TimePoint now);
  void SetTerminationState(Case& crash_case,
                           TerminationState state,
                           bool own,
                           core::TimePoint now);
  bool IsReported(const Case& crash_case,
                  const Termination& termination,
                  core::TimePoint now) const;
  v1::CrashCase ReportOf(const RequestFingerprint& trait,
                         const Case& crash_case,
                         core::TimePoint now) const;
  template <typename Reports>
  void MergeAll(const Reports& reports, bool own, core::TimePoint now);
  void Merge(const v1::CrashCase& report, bool own, core::TimePoint now);
  void MergeSurvived(Case& crash_case,
                     const v1::CrashCase& report,
                     bool own,
                     core::TimePoint now);

  CrashOptions m_options;
  CrashRate m_rate;
  std::map<RequestFingerprint, Case> m_cases;
  std::set<RequestFingerprint> m_trials;
  std::deque<BrokenRun> m_broken_runs;
  /// Quick hashes of parts that upstreams completed lately.
  RecentHashes m_innocent_parts;
  /// Terminations that quarantined parts of prompts caused.
  std::set<UpstreamStart> m_explained;
  /// Traits with new evidence that was not evaluated yet.
  std::set<RequestFingerprint> m_changed;
  std::vector<Suspicion> m_newly_quarantined;
  uint32_t m_last_tie = 0;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CRASH_RECORD_H_
