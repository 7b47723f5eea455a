#include "coppervalve/entry/crash_record.h"

#include <algorithm>  // all_of, any_of, count_if, max, min, min_element
#include <string>     // to_string
#include <utility>    // exchange

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

constexpr size_t kMaxTerminationsKept = 32;
constexpr size_t kMaxBrokenRuns = 1'024;
// A caller may list as many parts as its headers have room for.
constexpr size_t kMaxPartsCharged = 64;
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

QuarantineState CrashRecord::StateOf(const Case& crash_case) const {
  if (crash_case.quarantined) {
    return QuarantineState::kQuarantined;
  }
  if (crash_case.probation) {
    return QuarantineState::kSuspect;
  }
  const size_t terminations = CountedTerminations(crash_case);
  if (crash_case.part) {
    return terminations >= m_options.watch_threshold ? QuarantineState::kWatched
                                                     : QuarantineState::kClear;
  }
  return terminations >= m_options.suspect_threshold ? QuarantineState::kSuspect
                                                     : QuarantineState::kClear;
}

QuarantineState CrashRecord::QuarantineStateOf(
    const RequestFingerprint& trait) const {
  const auto found = m_cases.find(trait);
  return found == m_cases.end() ? QuarantineState::kClear
                                : StateOf(found->second);
}

Suspicion CrashRecord::Assess(const RequestTraits& request) const {
  Suspicion worst{QuarantineStateOf(request.content), request.content};
  for (const RequestFingerprint& part : request.parts) {
    const QuarantineState state = QuarantineStateOf(part);
    if (state > worst.state) {
      worst = {state, part, true};
    }
  }
  if (worst.part && worst.state == QuarantineState::kQuarantined &&
      IsOnlyTiedPart(request)) {
    worst.state = QuarantineState::kSuspect;
    worst.any_router = true;
  }
  return worst;
}

bool CrashRecord::HoldsQuarantinedPart(const RequestTraits& request) const {
  return std::any_of(request.parts.begin(), request.parts.end(),
                     [this](const RequestFingerprint& part) {
                       return QuarantineStateOf(part) ==
                              QuarantineState::kQuarantined;
                     });
}

// Parts that were always together can't be told apart by the crashes. A request
// with only one of them can: its outcome shows which of them is the cause.
bool CrashRecord::IsOnlyTiedPart(const RequestTraits& request) const {
  const Case* only = nullptr;
  for (const RequestFingerprint& part : request.parts) {
    const auto found = m_cases.find(part);
    if (found == m_cases.end() || !found->second.quarantined ||
        &found->second == only) {
      continue;
    }
    if (only != nullptr || found->second.tie == 0) {
      return false;
    }
    only = &found->second;
  }
  return only != nullptr;
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

CrashRecord::Case& CrashRecord::CaseOf(const RequestFingerprint& trait,
                                       bool part,
                                       core::TimePoint now) {
  if (m_cases.size() >= m_options.max_requests && !m_cases.contains(trait)) {
    // A caller with many such requests must not exhaust the memory.
    const auto evicted = std::min_element(
        m_cases.begin(), m_cases.end(), [](const auto& a, const auto& b) {
          return PriorityOf(a.second) < PriorityOf(b.second);
        });
    m_cases.erase(evicted);
  }
  Case& crash_case = m_cases[trait];
  crash_case.part = part;
  crash_case.changed = now;
  return crash_case;
}

void CrashRecord::Add(const RequestFingerprint& trait,
                      bool part,
                      UpstreamStart start,
                      bool own,
                      core::TimePoint now) {
  if (m_explained.contains(start) &&
      QuarantineStateOf(trait) != QuarantineState::kQuarantined) {
    return;
  }
  Case& crash_case = CaseOf(trait, part, now);
  if (crash_case.terminations.size() >= kMaxTerminationsKept &&
      !crash_case.terminations.contains(start)) {
    return;
  }
  const auto [termination, added] = crash_case.terminations.try_emplace(
      start, Termination{now, TerminationState::kCounts, own});
  if (!added) {
    return;
  }
  m_changed.insert(trait);
  if (part && crash_case.quarantined) {
    ExplainTerminations(crash_case, now);
  }
}

void CrashRecord::EvaluateChanged(core::TimePoint now) {
  const std::set<RequestFingerprint> changed =
      std::exchange(m_changed, std::set<RequestFingerprint>());
  for (const RequestFingerprint& trait : changed) {
    const auto found = m_cases.find(trait);
    if (found == m_cases.end() || !Qualifies(found->second, now)) {
      continue;
    }
    if (found->second.part) {
      QuarantineParts(LikeliestCauses(found->second), now);
    } else {
      Quarantine(trait, found->second, now);
    }
  }
  ResolveTies(now);
}

bool CrashRecord::CountsAllOf(const Case& crash_case, const Case& other) {
  return std::all_of(
      other.terminations.begin(), other.terminations.end(),
      [&](const auto& termination) {
        if (termination.second.state != TerminationState::kCounts) {
          return true;
        }
        const auto found = crash_case.terminations.find(termination.first);
        return found != crash_case.terminations.end() &&
               found->second.state == TerminationState::kCounts;
      });
}

// Parts of the same requests have much the same evidence. Those that were
// present at all terminations, and at the most besides, are the cause.
std::vector<RequestFingerprint> CrashRecord::LikeliestCauses(
    const Case& suspect) const {
  std::vector<RequestFingerprint> causes;
  size_t most = 0;
  for (const auto& [trait, crash_case] : m_cases) {
    if (!crash_case.part || crash_case.quarantined ||
        !CountsAllOf(crash_case, suspect)) {
      continue;
    }
    const size_t terminations = CountedTerminations(crash_case);
    if (terminations > most) {
      causes.clear();
      most = terminations;
    }
    if (terminations == most) {
      causes.push_back(trait);
    }
  }
  return causes;
}

void CrashRecord::QuarantineParts(const std::vector<RequestFingerprint>& parts,
                                  core::TimePoint now) {
  if (parts.size() > 1) {
    ++m_last_tie;
  }
  for (const RequestFingerprint& part : parts) {
    Case& crash_case = m_cases.at(part);
    Quarantine(part, crash_case, now);
    crash_case.tie = parts.size() > 1 ? m_last_tie : 0;
  }
  for (const RequestFingerprint& part : parts) {
    ExplainTerminations(m_cases.at(part), now);
  }
}

// As soon as one of them has crashed another upstream without the others, or
// has been completed without them, it is known which one to refuse.
void CrashRecord::ResolveTies(core::TimePoint now) {
  std::map<uint32_t, std::vector<Case*>> ties;
  for (auto& [trait, crash_case] : m_cases) {
    if (crash_case.quarantined && crash_case.tie != 0) {
      ties[crash_case.tie].push_back(&crash_case);
    }
  }
  for (const auto& [tie, cases] : ties) {
    size_t most = 0;
    for (const Case* one : cases) {
      most = std::max(most, CountedTerminations(*one));
    }
    const auto guilty = std::count_if(
        cases.begin(), cases.end(),
        [most](const Case* one) { return CountedTerminations(*one) == most; });
    for (Case* one : cases) {
      if (CountedTerminations(*one) < most) {
        SetTerminationState(*one, TerminationState::kExplained, false, now);
      } else if (guilty == 1) {
        one->tie = 0;
      }
    }
  }
}

bool CrashRecord::Qualifies(Case& crash_case, core::TimePoint now) const {
  if (crash_case.quarantined) {
    return false;
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
  return counted >= TerminationsNeeded(crash_case) &&
         (crash_case.separate_events || crash_case.probation);
}

// Most requests that ran when an upstream terminated are alike in parts of
// their prompts, so how many terminations are no coincidence depends on how
// often any run ends that way. The same content is rarely sent twice.
size_t CrashRecord::TerminationsNeeded(const Case& crash_case) const {
  if (crash_case.probation) {
    return 1;
  }
  if (!crash_case.part) {
    return m_options.quarantine_threshold;
  }
  return std::min(m_rate.CrashesThatProve(OwnTerminations(crash_case)),
                  TerminationsToAgree(crash_case));
}

size_t CrashRecord::OwnTerminations(const Case& crash_case) {
  return static_cast<size_t>(std::count_if(
      crash_case.terminations.begin(), crash_case.terminations.end(),
      [](const auto& termination) {
        return termination.second.state == TerminationState::kCounts &&
               termination.second.own;
      }));
}

void CrashRecord::Quarantine(const RequestFingerprint& trait,
                             Case& crash_case,
                             core::TimePoint now) {
  crash_case.quarantined = true;
  crash_case.quarantined_at = now;
  ++crash_case.quarantine_count;
  m_newly_quarantined.push_back(
      {QuarantineState::kQuarantined, trait, crash_case.part});
}

std::vector<Suspicion> CrashRecord::TakeNewlyQuarantined() {
  return std::exchange(m_newly_quarantined, {});
}

// Upstreams that a quarantined part crashed are no evidence against the other
// requests that ran there. Without this, crashes at a high rate would soon be
// held against much of the traffic.
void CrashRecord::ExplainTerminations(const Case& cause, core::TimePoint now) {
  InsertCounted(cause);
  for (auto& [trait, crash_case] : m_cases) {
    if (crash_case.quarantined || crash_case.probation) {
      continue;
    }
    for (auto& [start, termination] : crash_case.terminations) {
      if (termination.state == TerminationState::kCounts &&
          m_explained.contains(start)) {
        termination = {now, TerminationState::kExplained, false};
      }
    }
  }
}

void CrashRecord::EndQuarantine(Case& crash_case) {
  if (!std::exchange(crash_case.quarantined, false) || !crash_case.part) {
    return;
  }
  m_explained.clear();
  for (const auto& [trait, other] : m_cases) {
    if (other.part && other.quarantined) {
      InsertCounted(other);
    }
  }
}

void CrashRecord::InsertCounted(const Case& cause) {
  for (const auto& [start, termination] : cause.terminations) {
    if (termination.state == TerminationState::kCounts) {
      m_explained.insert(start);
    }
  }
}

void CrashRecord::OnBroken(const RequestTraits& request,
                           UpstreamStart start,
                           core::TimePoint now,
                           core::Duration writing) {
  if (m_broken_runs.size() >= kMaxBrokenRuns) {
    m_broken_runs.pop_front();
  }
  m_broken_runs.push_back({now, start, request});
  if (writing > m_options.max_writing_time) {
    m_broken_runs.back().request.parts.clear();
  }
}

std::vector<RequestTraits> CrashRecord::TakeInterrupted(UpstreamStart start,
                                                        core::TimePoint now) {
  std::vector<RequestTraits> interrupted;
  for (const BrokenRun& broken : m_broken_runs) {
    const bool in_time = now - broken.at <= m_options.detection_time;
    if (broken.start == start && in_time) {
      interrupted.push_back(broken.request);
    }
  }
  std::erase_if(m_broken_runs,
                [&](const BrokenRun& broken) { return broken.start == start; });
  return interrupted;
}

bool CrashRecord::IsExplained(
    UpstreamStart start,
    const std::vector<RequestTraits>& interrupted) const {
  return m_explained.contains(start) ||
         std::any_of(interrupted.begin(), interrupted.end(),
                     [this](const RequestTraits& request) {
                       return HoldsQuarantinedPart(request);
                     });
}

std::vector<RequestFingerprint> CrashRecord::OnTerminated(UpstreamStart start,
                                                          core::TimePoint now) {
  const std::vector<RequestTraits> interrupted = TakeInterrupted(start, now);
  const bool explained = IsExplained(start, interrupted);
  if (explained) {
    m_explained.insert(start);
  }
  std::vector<RequestFingerprint> contents;
  for (const RequestTraits& request : interrupted) {
    contents.push_back(request.content);
    if (!explained && !request.parts.empty()) {
      m_rate.OnCrashed(now);
    }
    Charge(request, start, now);
  }
  EvaluateChanged(now);
  return contents;
}

// A repeat of the same request tells nothing new about its parts.
void CrashRecord::Charge(const RequestTraits& request,
                         UpstreamStart start,
                         core::TimePoint now) {
  const auto known = m_cases.find(request.content);
  const bool repeated =
      known != m_cases.end() && CountedTerminations(known->second) != 0;
  Add(request.content, false, start, true, now);
  if (repeated) {
    return;
  }
  const size_t parts = std::min(request.parts.size(), kMaxPartsCharged);
  for (size_t i = 0; i < parts; ++i) {
    const RequestFingerprint& part = request.parts[i];
    if (!m_innocent_parts.Contains(part.quick_hash, now)) {
      Add(part, true, start, true, now);
    }
  }
}

void CrashRecord::OnCompleted(const std::vector<uint64_t>& parts,
                              core::TimePoint now) {
  if (parts.empty()) {
    return;
  }
  m_rate.OnCompleted(now);
  for (const uint64_t part : parts) {
    m_innocent_parts.Insert(part, now);
  }
}

// A request that crashes every upstream can't have been completed by one.
// Without this, requests with a popular content would be rejected after a
// series of unrelated crashes.
bool CrashRecord::OnSurvived(const RequestTraits& request,
                             core::TimePoint now) {
  std::erase_if(m_broken_runs, [&](const BrokenRun& broken) {
    return broken.request.content == request.content;
  });
  bool changed = ClearSurvived(request.content, now);
  for (const RequestFingerprint& part : request.parts) {
    for (BrokenRun& broken : m_broken_runs) {
      std::erase(broken.request.parts, part);
    }
    changed = ClearSurvived(part, now) || changed;
  }
  ResolveTies(now);
  return changed;
}

bool CrashRecord::ClearSurvived(const RequestFingerprint& trait,
                                core::TimePoint now) {
  const auto found = m_cases.find(trait);
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
  ResetVerdict(crash_case);
  crash_case.probation = state == TerminationState::kExpired;
  crash_case.changed = now;
}

void CrashRecord::ResetVerdict(Case& crash_case) {
  crash_case.probation = false;
  crash_case.separate_events = false;
  crash_case.refused_elsewhere = false;
  crash_case.tie = 0;
  EndQuarantine(crash_case);
}

void CrashRecord::Advance(core::TimePoint now) {
  m_rate.Advance(now);
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

size_t CrashRecord::CountQuarantined(bool part) const {
  return static_cast<size_t>(std::count_if(
      m_cases.begin(), m_cases.end(), [part](const auto& crash_case) {
        return crash_case.second.quarantined && crash_case.second.part == part;
      }));
}

}  // namespace coppervalve::entry
