#include "crash_fleet.h"

#include <algorithm>  // count_if, max
#include <set>        // set
#include <utility>    // exchange, move

#include "coppervalve/core/hash.h"
#include "entry_fixture.h"

namespace coppervalve::entry::testing {

namespace {

constexpr double kStep = 0.01;
// Delay from a termination until the heartbeat that reports it is read by all.
constexpr double kMinReportDelay = 0.05;
constexpr double kMaxReportDelay = 0.9;
// A refused connection reveals a termination at once; if nothing responds, the
// entry expires later.
constexpr double kRefusedShare = 0.9;
constexpr double kExpiryDelay = 3.4;
constexpr double kDownTime = 4.5;
constexpr double kTimeToFirstEvent = 0.1;

}  // namespace

CrashFleet::CrashFleet(uint64_t seed, size_t routers, size_t upstreams)
    : m_random(seed),
      m_records(routers, CrashRecord({})),
      m_upstreams(upstreams) {
  for (Upstream& upstream : m_upstreams) {
    upstream.start = ++m_starts;
  }
}

double CrashFleet::Uniform(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(m_random);
}

bool CrashFleet::Owns(size_t router, const RequestFingerprint& trait) const {
  const auto rank = [&](size_t one) {
    return core::RendezvousRank(trait.digest, std::to_string(one));
  };
  for (size_t one = 0; one < m_records.size(); ++one) {
    if (rank(one) > rank(router)) {
      return false;
    }
  }
  return true;
}

bool CrashFleet::Admit(size_t router,
                       const RequestTraits& traits,
                       std::optional<RequestFingerprint>& trial) {
  CrashRecord& record = m_records[router];
  const Suspicion suspicion = record.Assess(traits);
  if (suspicion.state < QuarantineState::kSuspect) {
    return true;
  }
  const bool responsible =
      suspicion.any_router || Owns(router, suspicion.trait);
  if (suspicion.state == QuarantineState::kQuarantined || !responsible ||
      !record.BeginTrial(suspicion.trait)) {
    return false;
  }
  trial = suspicion.trait;
  return true;
}

bool CrashFleet::Send(size_t router,
                      const std::string& body,
                      bool ends_upstreams,
                      const std::vector<std::string>& parts) {
  RequestTraits traits(
      FingerprintOf({"POST", "/x", core::AccountId("gate"), body}));
  for (const std::string& part : parts) {
    traits.parts.push_back(FingerprintOfPart(core::ServiceId("engines"), part));
  }
  std::optional<RequestFingerprint> trial;
  if (!Admit(router, traits, trial)) {
    return false;
  }
  const size_t first = m_random() % m_upstreams.size();
  for (size_t i = 0; i < m_upstreams.size(); ++i) {
    const size_t upstream = (first + i) % m_upstreams.size();
    if (m_upstreams[upstream].down_until > m_now) {
      continue;
    }
    const double lasts = ends_upstreams ? 0.1 : Uniform(0.3, 3);
    m_runs.push_back({router, upstream, m_upstreams[upstream].start, body,
                      traits, m_now + kTimeToFirstEvent, m_now + lasts,
                      ends_upstreams, trial});
    return true;
  }
  return false;
}

size_t CrashFleet::RoutersThatRefuse(const std::string& part) const {
  const RequestFingerprint trait =
      FingerprintOfPart(core::ServiceId("engines"), part);
  return static_cast<size_t>(std::count_if(
      m_records.begin(), m_records.end(), [&](const CrashRecord& record) {
        return record.QuarantineStateOf(trait) == QuarantineState::kQuarantined;
      }));
}

size_t CrashFleet::ReportBytes(size_t router) const {
  v1::RouterBeat beat;
  m_records[router].AddReportsTo(beat, At(m_now));
  return beat.ByteSizeLong();
}

void CrashFleet::TerminateRandom(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    Terminate(m_random() % m_upstreams.size());
  }
}

void CrashFleet::Terminate(size_t upstream) {
  const uint64_t start = m_upstreams[upstream].start;
  const bool refuses = Uniform(0, 1) < kRefusedShare;
  std::erase_if(m_runs, [&](const Run& run) {
    if (run.start != start) {
      return false;
    }
    m_records[run.router].OnBroken(
        run.traits, UpstreamStart(start), At(m_now),
        At(std::max(m_now, run.writes_from)) - At(run.writes_from));
    m_end_notices.push_back(
        {m_now + (refuses ? kStep : kExpiryDelay), run.router, start});
    if (run.trial) {
      m_records[run.router].EndTrial(*run.trial);
    }
    m_interrupted.push_back(run.body);
    return true;
  });
  m_upstreams[upstream] = {++m_starts, m_now + kDownTime};
}

void CrashFleet::SendHeartbeat(size_t router) {
  v1::RouterBeat beat;
  m_records[router].AddReportsTo(beat, At(m_now));
  m_sent_heartbeats.push_back(
      {m_now + Uniform(kMinReportDelay, kMaxReportDelay), std::move(beat),
       router});
}

void CrashFleet::FinishRuns() {
  std::set<size_t> terminated;
  for (const Run& run : m_runs) {
    if (run.ends_at <= m_now && run.ends_upstream) {
      terminated.insert(run.upstream);
    }
  }
  for (const size_t upstream : terminated) {
    Terminate(upstream);
    ++m_ended_by_requests;
  }
  std::erase_if(m_runs, [&](const Run& run) {
    if (run.ends_at > m_now) {
      return false;
    }
    CrashRecord& record = m_records[run.router];
    if (run.trial) {
      record.EndTrial(*run.trial);
    }
    std::vector<uint64_t> parts;
    for (const RequestFingerprint& part : run.traits.parts) {
      parts.push_back(part.quick_hash);
    }
    record.OnCompleted(parts, At(m_now));
    if (record.OnSurvived(run.traits, At(m_now))) {
      SendHeartbeat(run.router);
    }
    return true;
  });
}

void CrashFleet::Deliver() {
  std::erase_if(m_end_notices, [&](const EndNotice& notice) {
    if (notice.at > m_now) {
      return false;
    }
    if (!m_records[notice.router]
             .OnTerminated(UpstreamStart(notice.start), At(m_now))
             .empty()) {
      SendHeartbeat(notice.router);
    }
    return true;
  });
  std::erase_if(m_sent_heartbeats, [&](const SentHeartbeat& sent) {
    if (sent.at > m_now) {
      return false;
    }
    for (size_t router = 0; router < m_records.size(); ++router) {
      if (router != sent.from) {
        m_records[router].OnHeartbeat(sent.beat, At(m_now));
      }
    }
    return true;
  });
}

void CrashFleet::Advance(double seconds) {
  const double until = m_now + seconds;
  while (m_now < until) {
    m_now += kStep;
    FinishRuns();
    Deliver();
    for (CrashRecord& record : m_records) {
      record.Advance(At(m_now));
    }
  }
}

std::vector<std::string> CrashFleet::TakeInterrupted() {
  return std::exchange(m_interrupted, {});
}

}  // namespace coppervalve::entry::testing
