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
#include "coppervalve/entry/request_print.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::entry {

/// @brief One start of an upstream, as routers tell each other of it.
using UpstreamStart = core::NumberId<struct UpstreamStartTag>;
UpstreamStart StartOf(const UpstreamEntry& entry);

/// @brief What the ends of upstreams say about a request that they ran.
enum class Standing : uint8_t {
  kClear,        ///< nothing, or too little
  kSuspect,      ///< one more end settles it: tried alone, and never repeated
  kQuarantined,  ///< sent to no upstream
};

/// @brief Constants of the record.
struct CrashOptions {
  /// One end proves nothing, and two in a row are met by accident.
  size_t ends_to_quarantine = 3;
  size_t ends_to_suspect = 2;
  /// Ends within this time of each other may have one cause, such as a rack:
  /// alone they quarantine nothing.
  core::Duration one_event{1'000'000};
  /// How long an end is remembered that quarantined nothing.
  core::Duration doubt{60'000'000};
  /// How long a request is refused at first; twice as long each time that a
  /// trial afterwards ends an upstream again. A release may have mended it.
  core::Duration refused_for{600'000'000};
  /// An answer that broke off counts when its upstream is known to have ended
  /// within this time: entries lapse after some seconds of silence.
  core::Duration known_within{8'000'000};
  /// Other routers hear of an end for so long, longer than cuts from the store
  /// last; of what quarantined a request, for as long as it is refused.
  core::Duration told_for{15'000'000};
  size_t most_requests = 2'048;
  size_t most_told = 64;
};

/// @brief Which requests upstreams ended under, by content, as this router saw
/// it and as all others tell. A request that ends its upstreams comes again,
/// anywhere and under a new id; by it alone, each upstream looks like one that
/// happened to end.
///
/// What a router tells stands in its beat: written again it changes nothing,
/// the newest stays in the store, and every router reads it.
class CrashRecord {
 public:
  explicit CrashRecord(CrashOptions options) : m_options(options) {}

  /// @return whether nothing is held against any request
  bool empty() const { return m_cases.empty(); }
  /// @return false when a request of this sketch is clear, without its print
  /// @complexity logarithmic, as all but the beats
  bool MayKnow(uint64_t sketch) const;
  Standing StandingOf(const RequestPrint& request) const;
  /// @return time until a quarantined request may be tried again
  core::Duration RefusedFor(const RequestPrint& request,
                            core::TimePoint now) const;

  /// @brief Takes the place of the one that may be tried at a time.
  /// @return false when it is taken; else EndTrial() must follow
  bool BeginTrial(const RequestPrint& request);
  void EndTrial(const RequestPrint& request) { m_trials.erase(request); }

  /// @brief An answer broke off, or nothing came of it in time.
  void OnBroken(const RequestPrint& request,
                UpstreamStart start,
                core::TimePoint now);
  /// @brief A start of an upstream is known to have ended.
  /// @return the requests that this is held against
  std::vector<RequestPrint> OnEnded(UpstreamStart start, core::TimePoint now);
  /// @brief An upstream ran it and lived: the ends had other causes.
  /// @return whether other routers should hear of it soon
  bool OnSurvived(const RequestPrint& request, core::TimePoint now);

  /// @brief Adds what others should hear from this router.
  void WriteTo(v1::RouterBeat& beat, core::TimePoint now) const;
  /// @brief Another router's beat. Lists beyond the bounds are cut.
  /// @return requests that are quarantined since
  std::vector<RequestPrint> OnBeat(const v1::RouterBeat& beat,
                                   core::TimePoint now);
  /// @brief The last beat of this router's start before: its own word still.
  void OnOwnPast(const v1::RouterBeat& beat, core::TimePoint now);
  /// @brief Forgets what is old. Call it now and then.
  void Advance(core::TimePoint now);

  size_t quarantined() const;

 private:
  enum class EndState : uint8_t {
    kCounts,
    kSurvived,  ///< an upstream lived through the request since
    kExpired,   ///< the request was refused for it long enough
  };
  struct End {
    core::TimePoint since;  ///< that it is in this state
    EndState state = EndState::kCounts;
    bool own = false;  ///< this router saw what brought it there
  };
  struct Case {
    std::map<UpstreamStart, End> ends;
    core::TimePoint changed;
    bool apart = false;  ///< its ends are of more than one event
    bool probation = false;
    bool quarantined = false;
    uint32_t times = 0;  ///< that it was quarantined
    core::TimePoint quarantined_at;
  };
  struct Broken {
    core::TimePoint at;
    UpstreamStart start;
    RequestPrint request;
  };

  /// What is kept and told first: quarantined, with more ends, changed last.
  using Weight = std::tuple<bool, size_t, core::TimePoint>;
  static Weight WeightOf(const Case& one);
  static size_t Counting(const Case& one);
  Case& CaseOf(const RequestPrint& request, core::TimePoint now);
  void Add(const RequestPrint& request,
           UpstreamStart start,
           bool own,
           core::TimePoint now);
  void Judge(Case& one, core::TimePoint now) const;
  core::Duration QuarantineTime(const Case& one) const;
  static void MoveEnds(Case& one,
                       EndState state,
                       bool own,
                       core::TimePoint now);
  bool Told(const Case& one, const End& end, core::TimePoint now) const;
  v1::CrashCase ToldOf(const RequestPrint& request,
                       const Case& one,
                       core::TimePoint now) const;
  void Take(const v1::CrashCase& told, bool own, core::TimePoint now);
  void TakeSurvived(Case& one,
                    const v1::CrashCase& told,
                    bool own,
                    core::TimePoint now);

  CrashOptions m_options;
  std::map<RequestPrint, Case> m_cases;
  std::set<RequestPrint> m_trials;
  std::deque<Broken> m_broken;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_CRASH_RECORD_H_
