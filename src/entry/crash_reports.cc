// What routers tell each other about crashes, in their heartbeats.
#include <algorithm>  // min, sort
#include <limits>     // numeric_limits
#include <utility>    // move, pair

#include "coppervalve/entry/crash_record.h"

namespace coppervalve::entry {

namespace {

// More than any well-behaved router reports for one request.
constexpr int kMaxTerminationsRead = 16;
// A part that another router refuses is refused here too with this many
// terminations: each router estimates how many are needed.
constexpr size_t kTerminationsToAgree = 3;

}  // namespace

bool CrashRecord::IsReported(const Case& crash_case,
                             const Termination& termination,
                             core::TimePoint now) const {
  const bool recent = now - termination.since <= m_options.report_time;
  switch (termination.state) {
    case TerminationState::kCounts:
      return termination.own && (crash_case.quarantined || recent);
    case TerminationState::kSurvived:
      return termination.own && recent;
    case TerminationState::kExplained:
    case TerminationState::kExpired:
      break;
  }
  return false;
}

v1::CrashCase CrashRecord::ReportOf(const RequestFingerprint& trait,
                                    const Case& crash_case,
                                    core::TimePoint now) const {
  v1::CrashCase report;
  for (const auto& [start, termination] : crash_case.terminations) {
    if (!IsReported(crash_case, termination, now)) {
      continue;
    }
    if (termination.state == TerminationState::kSurvived) {
      report.add_survived(start.value());
    } else {
      report.add_ended(start.value());
    }
  }
  report.set_request(trait.ToBytes());
  report.set_apart(crash_case.separate_events);
  report.set_part(crash_case.part);
  report.set_refused(crash_case.part && crash_case.quarantined);
  return report;
}

void CrashRecord::AddReportsTo(v1::RouterBeat& beat,
                               core::TimePoint now) const {
  std::vector<std::pair<Priority, v1::CrashCase>> all;
  for (const auto& [trait, crash_case] : m_cases) {
    v1::CrashCase report = ReportOf(trait, crash_case, now);
    if (report.ended_size() != 0 || report.survived_size() != 0) {
      all.emplace_back(PriorityOf(crash_case), std::move(report));
    }
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  all.resize(std::min(all.size(), m_options.max_reported));
  for (auto& [priority, report] : all) {
    *beat.add_crashes() = std::move(report);
  }
}

void CrashRecord::Merge(const v1::CrashCase& report,
                        bool own,
                        core::TimePoint now) {
  const RequestFingerprint trait =
      RequestFingerprint::FromBytes(report.request());
  if (trait.digest.empty()) {
    return;
  }
  const int terminations = std::min(report.ended_size(), kMaxTerminationsRead);
  for (int i = 0; i < terminations; ++i) {
    Add(trait, report.part(), UpstreamStart(report.ended(i)), own, now);
  }
  const auto found = m_cases.find(trait);
  if (found == m_cases.end()) {
    return;
  }
  Case& crash_case = found->second;
  MergeSurvived(crash_case, report, own, now);
  if (terminations != 0 && CountedTerminations(crash_case) != 0) {
    crash_case.separate_events = crash_case.separate_events || report.apart();
    crash_case.refused_elsewhere =
        crash_case.refused_elsewhere || report.refused();
    m_changed.insert(trait);
  }
}

void CrashRecord::MergeSurvived(Case& crash_case,
                                const v1::CrashCase& report,
                                bool own,
                                core::TimePoint now) {
  const int survived = std::min(report.survived_size(), kMaxTerminationsRead);
  for (int i = 0; i < survived; ++i) {
    const auto termination =
        crash_case.terminations.find(UpstreamStart(report.survived(i)));
    if (termination != crash_case.terminations.end() &&
        termination->second.state != TerminationState::kSurvived) {
      termination->second = {now, TerminationState::kSurvived, own};
    }
  }
  if (survived != 0 && CountedTerminations(crash_case) == 0) {
    ResetVerdict(crash_case);
  }
}

template <typename Reports>
void CrashRecord::MergeAll(const Reports& reports,
                           bool own,
                           core::TimePoint now) {
  size_t read = 0;
  for (const v1::CrashCase& report : reports) {
    if (read == m_options.max_reported) {
      break;
    }
    ++read;
    Merge(report, own, now);
  }
  EvaluateChanged(now);
}

void CrashRecord::OnHeartbeat(const v1::RouterBeat& beat, core::TimePoint now) {
  MergeAll(beat.crashes(), false, now);
}

void CrashRecord::RestoreOwnReports(const v1::RouterBeat& beat,
                                    core::TimePoint now) {
  MergeAll(beat.crashes(), true, now);
}

void CrashRecord::OnVerdicts(const std::vector<v1::CrashCase>& verdicts,
                             core::TimePoint now) {
  MergeAll(verdicts, false, now);
}

std::vector<v1::CrashCase> CrashRecord::Verdicts(core::TimePoint now) const {
  std::vector<v1::CrashCase> verdicts;
  for (const auto& [trait, crash_case] : m_cases) {
    if (verdicts.size() == m_options.max_verdicts) {
      break;
    }
    v1::CrashCase verdict;
    verdict.set_request(trait.ToBytes());
    verdict.set_apart(true);
    verdict.set_part(crash_case.part);
    verdict.set_refused(crash_case.part && crash_case.quarantined);
    for (const auto& [start, termination] : crash_case.terminations) {
      const bool cleared = termination.state == TerminationState::kSurvived &&
                           now - termination.since <= m_options.report_time;
      if (crash_case.quarantined &&
          termination.state == TerminationState::kCounts) {
        verdict.add_ended(start.value());
      } else if (cleared) {
        verdict.add_survived(start.value());
      }
    }
    if (verdict.ended_size() != 0 || verdict.survived_size() != 0) {
      verdicts.push_back(std::move(verdict));
    }
  }
  return verdicts;
}

size_t CrashRecord::TerminationsToAgree(const Case& crash_case) {
  return crash_case.refused_elsewhere ? kTerminationsToAgree
                                      : std::numeric_limits<size_t>::max();
}

}  // namespace coppervalve::entry
