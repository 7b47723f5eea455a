#include "coppervalve/entry/crash_record.h"

#include <algorithm>  // count_if, max, min, min_element, sort
#include <string>     // to_string
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

// More than any well-behaved router reports for one request.
constexpr int kMaxTerminationsRead = 16;
constexpr size_t kMaxTerminationsKept = 32;
constexpr size_t kMaxBrokenRuns = 1'024;
// Bounds the quarantine: a release may fix the fault, and nobody lifts
// quarantines by hand.
constexpr uint32_t kMaxDoublings = 6;

}  // namespace

UpstreamStart StartOf(const UpstreamEntry& entry) {
  const std::string start_number =
      entry.start_number ? std::to_string(*entry.start_number) : "";
  return UpstreamStart(core::Hash64(entry.id.value() + "#" + start_number));
}

size_t CrashRecord::CountedTerminations(const Case& crash_case) {
  return static_cast<size_t>(std::count_if(
      crash_case.terminations.begin(), crash_case.terminations.end(),
      [](const auto& termination) {
        return termination.second.state == TerminationState::kCounts;
      }));
}

// Decides which cases are kept and reported if not all of them fit. Most
// requests that ran when an upstream terminated never recur; the one that
// caused it does.
CrashRecord::Priority CrashRecord::PriorityOf(const Case& crash_case) {
  return {crash_case.quarantined, CountedTerminations(crash_case),
          crash_case.changed};
}

bool CrashRecord::MayContain(uint64_t quick_hash) const {
  const auto first = m_cases.lower_bound(RequestFingerprint{quick_hash, {}});
  return first != m_cases.end() && first->first.quick_hash == quick_hash;
}

QuarantineState CrashRecord::QuarantineStateOf(
    const RequestFingerprint& request) const {
  const auto found = m_cases.find(request);
  if (found == m_cases.end()) {
    return QuarantineState::kClear;
  }
  const Case& crash_case = found->second;
  if (crash_case.quarantined) {
    return QuarantineState::kQuarantined;
  }
  return crash_case.probation ||
                 CountedTerminations(crash_case) >= m_options.suspect_threshold
             ? QuarantineState::kSuspect
             : QuarantineState::kClear;
}

core::Duration CrashRecord::QuarantineTime(const Case& crash_case) const {
  const uint32_t doublings =
      std::min(std::max(crash_case.quarantine_count, 1U) - 1, kMaxDoublings);
  return m_options.first_quarantine * (1U << doublings);
}

core::Duration CrashRecord::RemainingQuarantine(
    const RequestFingerprint& request,
    core::TimePoint now) const {
  const auto found = m_cases.find(request);
  if (found == m_cases.end() || !found->second.quarantined) {
    return core::Duration::zero();
  }
  const core::TimePoint until =
      found->second.quarantined_at + QuarantineTime(found->second);
  return std::max(until - now, core::Duration::zero());
}

// Concurrent copies would each terminate an upstream before the first
// termination is known. One at a time, they terminate only one.
bool CrashRecord::BeginTrial(const RequestFingerprint& request) {
  return m_trials.insert(request).second;
}

CrashRecord::Case& CrashRecord::CaseOf(const RequestFingerprint& request,
                                       core::TimePoint now) {
  if (m_cases.size() >= m_options.max_requests && !m_cases.contains(request)) {
    // A caller with many such requests must not exhaust the memory.
    const auto evicted = std::min_element(
        m_cases.begin(), m_cases.end(), [](const auto& a, const auto& b) {
          return PriorityOf(a.second) < PriorityOf(b.second);
        });
    m_cases.erase(evicted);
  }
  Case& crash_case = m_cases[request];
  crash_case.changed = now;
  return crash_case;
}

void CrashRecord::Add(const RequestFingerprint& request,
                      UpstreamStart start,
                      bool own,
                      core::TimePoint now) {
  Case& crash_case = CaseOf(request, now);
  if (crash_case.terminations.size() >= kMaxTerminationsKept &&
      !crash_case.terminations.contains(start)) {
    return;
  }
  const auto [termination, added] = crash_case.terminations.try_emplace(
      start, Termination{now, TerminationState::kCounts, own});
  if (added) {
    Evaluate(crash_case, now);
  }
}

void CrashRecord::Evaluate(Case& crash_case, core::TimePoint now) const {
  if (crash_case.quarantined) {
    return;
  }
  core::TimePoint first = now;
  size_t counted = 0;
  for (const auto& [start, termination] : crash_case.terminations) {
    if (termination.state == TerminationState::kCounts) {
      first = std::min(first, termination.since);
      ++counted;
    }
  }
  crash_case.separate_events =
      crash_case.separate_events || now - first > m_options.event_window;
  const size_t needed =
      crash_case.probation ? 1 : m_options.quarantine_threshold;
  if (counted < needed ||
      (!crash_case.separate_events && !crash_case.probation)) {
    return;
  }
  crash_case.quarantined = true;
  crash_case.quarantined_at = now;
  ++crash_case.quarantine_count;
}

void CrashRecord::OnBroken(const RequestFingerprint& request,
                           UpstreamStart start,
                           core::TimePoint now) {
  if (m_broken_runs.size() >= kMaxBrokenRuns) {
    m_broken_runs.pop_front();
  }
  m_broken_runs.push_back({now, start, request});
}

std::vector<RequestFingerprint> CrashRecord::OnTerminated(UpstreamStart start,
                                                          core::TimePoint now) {
  std::vector<RequestFingerprint> affected;
  for (const BrokenRun& broken : m_broken_runs) {
    const bool in_time = now - broken.at <= m_options.detection_time;
    if (broken.start == start && in_time) {
      affected.push_back(broken.request);
    }
  }
  std::erase_if(m_broken_runs,
                [&](const BrokenRun& broken) { return broken.start == start; });
  for (const RequestFingerprint& request : affected) {
    Add(request, start, true, now);
  }
  return affected;
}

// A request that crashes every upstream can't have been completed by one.
// Without this, requests with a popular content would be rejected after a
// series of unrelated crashes.
bool CrashRecord::OnSurvived(const RequestFingerprint& request,
                             core::TimePoint now) {
  std::erase_if(m_broken_runs, [&](const BrokenRun& broken) {
    return broken.request == request;
  });
  const auto found = m_cases.find(request);
  if (found == m_cases.end()) {
    return false;
  }
  const bool counted =
      CountedTerminations(found->second) != 0 || found->second.quarantined;
  SetTerminationState(found->second, TerminationState::kSurvived, true, now);
  return counted;
}

void CrashRecord::SetTerminationState(Case& crash_case,
                                      TerminationState state,
                                      bool own,
                                      core::TimePoint now) {
  for (auto& [start, termination] : crash_case.terminations) {
    if (termination.state != state) {
      termination = {now, state, own};
    }
  }
  crash_case.quarantined = false;
  crash_case.probation = state == TerminationState::kExpired;
  crash_case.separate_events = false;
  crash_case.changed = now;
}

bool CrashRecord::IsReported(const Case& crash_case,
                             const Termination& termination,
                             core::TimePoint now) const {
  const bool recent = now - termination.since <= m_options.report_time;
  switch (termination.state) {
    case TerminationState::kCounts:
      return termination.own && (crash_case.quarantined || recent);
    case TerminationState::kSurvived:
      return termination.own && recent;
    case TerminationState::kExpired:
      break;
  }
  return false;
}

v1::CrashCase CrashRecord::ReportOf(const RequestFingerprint& request,
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
  report.set_request(request.ToBytes());
  report.set_apart(crash_case.separate_events);
  return report;
}

void CrashRecord::AddReportsTo(v1::RouterBeat& beat,
                               core::TimePoint now) const {
  std::vector<std::pair<Priority, v1::CrashCase>> all;
  for (const auto& [request, crash_case] : m_cases) {
    v1::CrashCase report = ReportOf(request, crash_case, now);
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
  const RequestFingerprint request =
      RequestFingerprint::FromBytes(report.request());
  if (request.digest.empty()) {
    return;
  }
  const int terminations = std::min(report.ended_size(), kMaxTerminationsRead);
  for (int i = 0; i < terminations; ++i) {
    Add(request, UpstreamStart(report.ended(i)), own, now);
  }
  const auto found = m_cases.find(request);
  if (found == m_cases.end()) {
    return;
  }
  MergeSurvived(found->second, report, own, now);
  if (terminations != 0 && CountedTerminations(found->second) != 0) {
    found->second.separate_events =
        found->second.separate_events || report.apart();
    Evaluate(found->second, now);
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
    crash_case.quarantined = false;
    crash_case.probation = false;
    crash_case.separate_events = false;
  }
}

std::vector<RequestFingerprint> CrashRecord::OnHeartbeat(
    const v1::RouterBeat& beat,
    core::TimePoint now) {
  std::vector<RequestFingerprint> quarantined;
  const int count =
      std::min(beat.crashes_size(), static_cast<int>(m_options.max_reported));
  for (int i = 0; i < count; ++i) {
    const RequestFingerprint request =
        RequestFingerprint::FromBytes(beat.crashes(i).request());
    const bool before =
        QuarantineStateOf(request) == QuarantineState::kQuarantined;
    Merge(beat.crashes(i), false, now);
    if (!before &&
        QuarantineStateOf(request) == QuarantineState::kQuarantined) {
      quarantined.push_back(request);
    }
  }
  return quarantined;
}

void CrashRecord::RestoreOwnReports(const v1::RouterBeat& beat,
                                    core::TimePoint now) {
  const int count =
      std::min(beat.crashes_size(), static_cast<int>(m_options.max_reported));
  for (int i = 0; i < count; ++i) {
    Merge(beat.crashes(i), true, now);
  }
}

void CrashRecord::Advance(core::TimePoint now) {
  while (!m_broken_runs.empty() &&
         now - m_broken_runs.front().at > m_options.detection_time) {
    m_broken_runs.pop_front();
  }
  for (auto& [request, crash_case] : m_cases) {
    if (crash_case.quarantined &&
        now - crash_case.quarantined_at >= QuarantineTime(crash_case)) {
      // The terminations stay on record: one more is enough for the next
      // quarantine.
      SetTerminationState(crash_case, TerminationState::kExpired, true, now);
    }
  }
  std::erase_if(m_cases, [&](const auto& entry) {
    const Case& crash_case = entry.second;
    const core::Duration kept = crash_case.probation
                                    ? QuarantineTime(crash_case)
                                    : m_options.suspicion_time;
    return !crash_case.quarantined && now - crash_case.changed > kept;
  });
}

size_t CrashRecord::quarantined() const {
  return static_cast<size_t>(std::count_if(
      m_cases.begin(), m_cases.end(),
      [](const auto& crash_case) { return crash_case.second.quarantined; }));
}

}  // namespace coppervalve::entry
