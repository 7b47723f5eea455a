#include "crash_fleet.h"

#include <utility>  // exchange, move

#include "coppervalve/core/hash.h"
#include "entry_fixture.h"

namespace coppervalve::entry::testing {

namespace {

constexpr double kStep = 0.01;
// From an end to the beat that tells of it, read by all.
constexpr double kLeastWord = 0.05;
constexpr double kMostWord = 0.9;
// An address that refuses tells of an end at once; where nothing answers, the
// entry lapses.
constexpr double kRefusing = 0.9;
constexpr double kLapse = 3.4;
constexpr double kDown = 4.5;

}  // namespace

CrashFleet::CrashFleet(uint64_t seed, size_t routers, size_t upstreams)
    : m_random(seed),
      m_records(routers, CrashRecord({})),
      m_machines(upstreams) {
  for (Machine& machine : m_machines) {
    machine.start = ++m_starts;
  }
}

double CrashFleet::Uniform(double from, double to) {
  return std::uniform_real_distribution<double>(from, to)(m_random);
}

bool CrashFleet::Owns(size_t router, const RequestPrint& print) const {
  const auto rank = [&](size_t one) {
    return core::RendezvousRank(print.digest, std::to_string(one));
  };
  for (size_t one = 0; one < m_records.size(); ++one) {
    if (rank(one) > rank(router)) {
      return false;
    }
  }
  return true;
}

bool CrashFleet::Ask(size_t router,
                     const std::string& body,
                     bool ends_upstreams) {
  CrashRecord& record = m_records[router];
  const RequestPrint print =
      PrintOf({"POST", "/x", core::AccountId("gate"), body});
  const Standing standing = record.StandingOf(print);
  const bool alone = standing == Standing::kSuspect;
  if (standing == Standing::kQuarantined ||
      (alone && !(Owns(router, print) && record.BeginTrial(print)))) {
    return false;
  }
  const size_t first = m_random() % m_machines.size();
  for (size_t i = 0; i < m_machines.size(); ++i) {
    const size_t upstream = (first + i) % m_machines.size();
    if (m_machines[upstream].down_until > m_now) {
      continue;
    }
    const double lasts = ends_upstreams ? 0.1 : Uniform(0.3, 3);
    m_runs.push_back({router, upstream, m_machines[upstream].start, body, print,
                      m_now + lasts, ends_upstreams, alone});
    return true;
  }
  return false;
}

void CrashFleet::EndSome(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    End(m_random() % m_machines.size());
  }
}

void CrashFleet::End(size_t upstream) {
  const uint64_t start = m_machines[upstream].start;
  const bool refuses = Uniform(0, 1) < kRefusing;
  std::erase_if(m_runs, [&](const Run& run) {
    if (run.start != start) {
      return false;
    }
    m_records[run.router].OnBroken(run.print, UpstreamStart(start), At(m_now));
    m_proofs.push_back({m_now + (refuses ? kStep : kLapse), run.router, start});
    if (run.tried_alone) {
      m_records[run.router].EndTrial(run.print);
    }
    m_cut.push_back(run.body);
    return true;
  });
  m_machines[upstream] = {++m_starts, m_now + kDown};
}

void CrashFleet::Tell(size_t router) {
  v1::RouterBeat beat;
  m_records[router].WriteTo(beat, At(m_now));
  m_words.push_back(
      {m_now + Uniform(kLeastWord, kMostWord), std::move(beat), router});
}

void CrashFleet::FinishRuns() {
  const std::vector<Run> runs = m_runs;
  for (const Run& run : runs) {
    if (run.ends_at <= m_now && run.ends_upstream &&
        m_machines[run.upstream].start == run.start) {
      End(run.upstream);
    }
  }
  std::erase_if(m_runs, [&](const Run& run) {
    if (run.ends_at > m_now) {
      return false;
    }
    CrashRecord& record = m_records[run.router];
    if (run.tried_alone) {
      record.EndTrial(run.print);
    }
    if (record.OnSurvived(run.print, At(m_now))) {
      Tell(run.router);
    }
    return true;
  });
}

void CrashFleet::Deliver() {
  std::erase_if(m_proofs, [&](const Proof& proof) {
    if (proof.at > m_now) {
      return false;
    }
    if (!m_records[proof.router]
             .OnEnded(UpstreamStart(proof.start), At(m_now))
             .empty()) {
      Tell(proof.router);
    }
    return true;
  });
  std::erase_if(m_words, [&](const Word& word) {
    if (word.at > m_now) {
      return false;
    }
    for (size_t router = 0; router < m_records.size(); ++router) {
      if (router != word.from) {
        m_records[router].OnBeat(word.beat, At(m_now));
      }
    }
    return true;
  });
}

void CrashFleet::Pass(double seconds) {
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

std::vector<std::string> CrashFleet::TakeCut() {
  return std::exchange(m_cut, {});
}

}  // namespace coppervalve::entry::testing
