#include "coppervalve/entry/crash_record.h"

#include <algorithm>  // count_if, max, min, min_element, sort
#include <string>     // to_string
#include <utility>    // move

#include "coppervalve/core/hash.h"

namespace coppervalve::entry {

namespace {

// More than any well-behaved router reports for one request.
constexpr int kMostEndsRead = 16;
constexpr size_t kMostEndsKept = 32;
constexpr size_t kMostBroken = 1'024;
// Bounds the quarantine: a release may fix the fault, and nobody lifts
// quarantines by hand.
constexpr uint32_t kMostDoublings = 6;

}  // namespace

UpstreamStart StartOf(const UpstreamEntry& entry) {
  const std::string born = entry.born ? std::to_string(*entry.born) : "";
  return UpstreamStart(core::Hash64(entry.id.value() + "#" + born));
}

size_t CrashRecord::Counting(const Case& one) {
  return static_cast<size_t>(std::count_if(
      one.ends.begin(), one.ends.end(),
      [](const auto& end) { return end.second.state == EndState::kCounts; }));
}

// Decides which cases stay if there is room for some only. Most requests that
// ran when an upstream terminated never recur; the one that caused it does.
CrashRecord::Weight CrashRecord::WeightOf(const Case& one) {
  return {one.quarantined, Counting(one), one.changed};
}

bool CrashRecord::MayKnow(uint64_t sketch) const {
  const auto first = m_cases.lower_bound(RequestPrint{sketch, {}});
  return first != m_cases.end() && first->first.sketch == sketch;
}

Standing CrashRecord::StandingOf(const RequestPrint& request) const {
  const auto found = m_cases.find(request);
  if (found == m_cases.end()) {
    return Standing::kClear;
  }
  const Case& one = found->second;
  if (one.quarantined) {
    return Standing::kQuarantined;
  }
  return one.probation || Counting(one) >= m_options.ends_to_suspect
             ? Standing::kSuspect
             : Standing::kClear;
}

core::Duration CrashRecord::QuarantineTime(const Case& one) const {
  const uint32_t doublings =
      std::min(std::max(one.times, 1U) - 1, kMostDoublings);
  return m_options.refused_for * (1U << doublings);
}

core::Duration CrashRecord::RefusedFor(const RequestPrint& request,
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
bool CrashRecord::BeginTrial(const RequestPrint& request) {
  return m_trials.insert(request).second;
}

CrashRecord::Case& CrashRecord::CaseOf(const RequestPrint& request,
                                       core::TimePoint now) {
  if (m_cases.size() >= m_options.most_requests && !m_cases.contains(request)) {
    // A caller with many such requests must not exhaust the memory.
    const auto goes = std::min_element(
        m_cases.begin(), m_cases.end(), [](const auto& a, const auto& b) {
          return WeightOf(a.second) < WeightOf(b.second);
        });
    m_cases.erase(goes);
  }
  Case& one = m_cases[request];
  one.changed = now;
  return one;
}

void CrashRecord::Add(const RequestPrint& request,
                      UpstreamStart start,
                      bool own,
                      core::TimePoint now) {
  Case& one = CaseOf(request, now);
  if (one.ends.size() >= kMostEndsKept && !one.ends.contains(start)) {
    return;
  }
  const auto [end, added] =
      one.ends.try_emplace(start, End{now, EndState::kCounts, own});
  if (added) {
    Judge(one, now);
  }
}

void CrashRecord::Judge(Case& one, core::TimePoint now) const {
  if (one.quarantined) {
    return;
  }
  core::TimePoint first = now;
  size_t counting = 0;
  for (const auto& [start, end] : one.ends) {
    if (end.state == EndState::kCounts) {
      first = std::min(first, end.since);
      ++counting;
    }
  }
  one.apart = one.apart || now - first > m_options.one_event;
  const size_t needed = one.probation ? 1 : m_options.ends_to_quarantine;
  if (counting < needed || (!one.apart && !one.probation)) {
    return;
  }
  one.quarantined = true;
  one.quarantined_at = now;
  ++one.times;
}

void CrashRecord::OnBroken(const RequestPrint& request,
                           UpstreamStart start,
                           core::TimePoint now) {
  if (m_broken.size() >= kMostBroken) {
    m_broken.pop_front();
  }
  m_broken.push_back({now, start, request});
}

std::vector<RequestPrint> CrashRecord::OnEnded(UpstreamStart start,
                                               core::TimePoint now) {
  std::vector<RequestPrint> held_against;
  for (const Broken& broken : m_broken) {
    const bool in_time = now - broken.at <= m_options.known_within;
    if (broken.start == start && in_time) {
      held_against.push_back(broken.request);
    }
  }
  std::erase_if(m_broken,
                [&](const Broken& broken) { return broken.start == start; });
  for (const RequestPrint& request : held_against) {
    Add(request, start, true, now);
  }
  return held_against;
}

// A request that crashes every upstream can't have been completed by one.
// Without this, requests with a popular content would be rejected after a
// series of unrelated crashes.
bool CrashRecord::OnSurvived(const RequestPrint& request, core::TimePoint now) {
  std::erase_if(m_broken, [&](const Broken& broken) {
    return broken.request == request;
  });
  const auto found = m_cases.find(request);
  if (found == m_cases.end()) {
    return false;
  }
  const bool counted =
      Counting(found->second) != 0 || found->second.quarantined;
  MoveEnds(found->second, EndState::kSurvived, true, now);
  return counted;
}

void CrashRecord::MoveEnds(Case& one,
                           EndState state,
                           bool own,
                           core::TimePoint now) {
  for (auto& [start, end] : one.ends) {
    if (end.state != state) {
      end = {now, state, own};
    }
  }
  one.quarantined = false;
  one.probation = state == EndState::kExpired;
  one.apart = false;
  one.changed = now;
}

bool CrashRecord::Told(const Case& one,
                       const End& end,
                       core::TimePoint now) const {
  const bool lately = now - end.since <= m_options.told_for;
  switch (end.state) {
    case EndState::kCounts:
      return end.own && (one.quarantined || lately);
    case EndState::kSurvived:
      return end.own && lately;
    case EndState::kExpired:
      break;
  }
  return false;
}

v1::CrashCase CrashRecord::ToldOf(const RequestPrint& request,
                                  const Case& one,
                                  core::TimePoint now) const {
  v1::CrashCase told;
  for (const auto& [start, end] : one.ends) {
    if (!Told(one, end, now)) {
      continue;
    }
    if (end.state == EndState::kSurvived) {
      told.add_survived(start.value());
    } else {
      told.add_ended(start.value());
    }
  }
  told.set_request(request.ToBytes());
  told.set_apart(one.apart);
  return told;
}

void CrashRecord::WriteTo(v1::RouterBeat& beat, core::TimePoint now) const {
  std::vector<std::pair<Weight, v1::CrashCase>> all;
  for (const auto& [request, one] : m_cases) {
    v1::CrashCase told = ToldOf(request, one, now);
    if (told.ended_size() != 0 || told.survived_size() != 0) {
      all.emplace_back(WeightOf(one), std::move(told));
    }
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  all.resize(std::min(all.size(), m_options.most_told));
  for (auto& [weight, told] : all) {
    *beat.add_crashes() = std::move(told);
  }
}

void CrashRecord::Take(const v1::CrashCase& told,
                       bool own,
                       core::TimePoint now) {
  const RequestPrint request = RequestPrint::FromBytes(told.request());
  if (request.digest.empty()) {
    return;
  }
  const int ends = std::min(told.ended_size(), kMostEndsRead);
  for (int i = 0; i < ends; ++i) {
    Add(request, UpstreamStart(told.ended(i)), own, now);
  }
  const auto found = m_cases.find(request);
  if (found == m_cases.end()) {
    return;
  }
  TakeSurvived(found->second, told, own, now);
  if (ends != 0 && Counting(found->second) != 0) {
    found->second.apart = found->second.apart || told.apart();
    Judge(found->second, now);
  }
}

void CrashRecord::TakeSurvived(Case& one,
                               const v1::CrashCase& told,
                               bool own,
                               core::TimePoint now) {
  const int survived = std::min(told.survived_size(), kMostEndsRead);
  for (int i = 0; i < survived; ++i) {
    const auto end = one.ends.find(UpstreamStart(told.survived(i)));
    if (end != one.ends.end() && end->second.state != EndState::kSurvived) {
      end->second = {now, EndState::kSurvived, own};
    }
  }
  if (survived != 0 && Counting(one) == 0) {
    one.quarantined = false;
    one.probation = false;
    one.apart = false;
  }
}

std::vector<RequestPrint> CrashRecord::OnBeat(const v1::RouterBeat& beat,
                                              core::TimePoint now) {
  std::vector<RequestPrint> quarantined;
  const int most =
      std::min(beat.crashes_size(), static_cast<int>(m_options.most_told));
  for (int i = 0; i < most; ++i) {
    const RequestPrint request =
        RequestPrint::FromBytes(beat.crashes(i).request());
    const bool before = StandingOf(request) == Standing::kQuarantined;
    Take(beat.crashes(i), false, now);
    if (!before && StandingOf(request) == Standing::kQuarantined) {
      quarantined.push_back(request);
    }
  }
  return quarantined;
}

void CrashRecord::OnOwnPast(const v1::RouterBeat& beat, core::TimePoint now) {
  const int most =
      std::min(beat.crashes_size(), static_cast<int>(m_options.most_told));
  for (int i = 0; i < most; ++i) {
    Take(beat.crashes(i), true, now);
  }
}

void CrashRecord::Advance(core::TimePoint now) {
  while (!m_broken.empty() &&
         now - m_broken.front().at > m_options.known_within) {
    m_broken.pop_front();
  }
  for (auto& [request, one] : m_cases) {
    if (one.quarantined && now - one.quarantined_at >= QuarantineTime(one)) {
      // The terminations stay on record: one more is enough for the next
      // quarantine.
      MoveEnds(one, EndState::kExpired, true, now);
    }
  }
  std::erase_if(m_cases, [&](const auto& entry) {
    const Case& one = entry.second;
    const core::Duration kept =
        one.probation ? QuarantineTime(one) : m_options.doubt;
    return !one.quarantined && now - one.changed > kept;
  });
}

size_t CrashRecord::quarantined() const {
  return static_cast<size_t>(
      std::count_if(m_cases.begin(), m_cases.end(),
                    [](const auto& one) { return one.second.quarantined; }));
}

}  // namespace coppervalve::entry
