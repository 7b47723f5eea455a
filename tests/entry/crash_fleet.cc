#include "crash_fleet.h"

#include <utility>  // exchange, move

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

bool CrashFleet::Owns(size_t router,
                      const RequestFingerprint& fingerprint) const {
  const auto rank = [&](size_t one) {
    return core::RendezvousRank(fingerprint.digest, std::to_string(one));
  };
  for (size_t one = 0; one < m_records.size(); ++one) {
    if (rank(one) > rank(router)) {
      return false;
    }
  }
  return true;
}

bool CrashFleet::Send(size_t router,
                      const std::string& body,
                      bool ends_upstreams) {
  CrashRecord& record = m_records[router];
  const RequestFingerprint fingerprint =
      FingerprintOf({"POST", "/x", core::AccountId("gate"), body});
  const QuarantineState standing = record.QuarantineStateOf(fingerprint);
  const bool alone = standing == QuarantineState::kSuspect;
  if (standing == QuarantineState::kQuarantined ||
      (alone &&
       !(Owns(router, fingerprint) && record.BeginTrial(fingerprint)))) {
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
                      fingerprint, m_now + lasts, ends_upstreams, alone});
    return true;
  }
  return false;
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
    m_records[run.router].OnBroken(run.fingerprint, UpstreamStart(start),
                                   At(m_now));
    m_end_notices.push_back(
        {m_now + (refuses ? kStep : kExpiryDelay), run.router, start});
    if (run.tried_alone) {
      m_records[run.router].EndTrial(run.fingerprint);
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
  const std::vector<Run> runs = m_runs;
  for (const Run& run : runs) {
    if (run.ends_at <= m_now && run.ends_upstream &&
        m_upstreams[run.upstream].start == run.start) {
      Terminate(run.upstream);
    }
  }
  std::erase_if(m_runs, [&](const Run& run) {
    if (run.ends_at > m_now) {
      return false;
    }
    CrashRecord& record = m_records[run.router];
    if (run.tried_alone) {
      record.EndTrial(run.fingerprint);
    }
    if (record.OnSurvived(run.fingerprint, At(m_now))) {
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
