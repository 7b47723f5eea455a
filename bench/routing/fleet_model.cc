#include "bench/routing/fleet_model.h"

#include <algorithm>  // max
#include <utility>    // move
#include <variant>    // get, get_if

#include "pcg_random.hpp"

namespace coppervalve::bench {

namespace {

constexpr int64_t kExpireEverySteps = 10;
constexpr uint32_t kRetryTwiceAttempts =
    3;  ///< attempts of the retry-twice baseline

const routing::WorkTarget kTarget{core::ModelId("chat"), {}};
const core::RuleId kRule("any");

core::UpstreamId EngineId(size_t engine) {
  return core::UpstreamId(std::to_string(engine));
}

size_t EngineOf(const core::UpstreamId& id) {
  return std::stoul(id.value());
}

uint32_t PriorityOf(v1::AdmissionClass admission_class) {
  return static_cast<uint32_t>(admission_class) - 1;
}

int64_t StepsOf(core::Duration duration) {
  return duration / kStep + 1;
}

std::vector<routing::UpstreamInfo> InfosOf(
    const std::vector<EngineOptions>& engines) {
  std::vector<routing::UpstreamInfo> infos;
  for (size_t engine = 0; engine < engines.size(); ++engine) {
    routing::UpstreamInfo info;
    info.id = EngineId(engine);
    info.models.push_back(kTarget.model);
    infos.push_back(info);
  }
  return infos;
}

}  // namespace

routing::RandomSource Seeded(uint64_t seed) {
  auto engine = std::make_shared<pcg64>(seed);
  return [engine] { return (*engine)(); };
}

struct Fleet::RouterView {
  RouterView(const FleetOptions& options, uint64_t seed)
      : table({}, Seeded(seed)),
        placement({}, options.policy(Seeded(seed + 1)), Seeded(seed + 2), {}),
        queue({}, Seeded(seed + 3)),
        retries({}, Seeded(seed + 4)) {
    table.SetUpstreams(InfosOf(options.engines));
  }

  routing::UpstreamTable table;
  routing::Placement placement;
  routing::AdmissionQueue queue;
  routing::RetryPolicy retries;
};

struct Fleet::JobState {
  Job job;
  size_t router = 0;
  int64_t arrived = 0;  ///< first try
  int64_t entered = 0;  ///< this try
  uint32_t attempts = 0;
  bool started = false;
  std::vector<core::UpstreamId> exclude;
};

Fleet::Fleet(const FleetOptions& options)
    : m_options(options),
      m_last_dispatch(options.routers,
                      std::vector<int64_t>(options.engines.size(), -1)) {
  for (EngineOptions engine : options.engines) {
    if (options.management == Management::kNoQueue) {
      engine.max_queue = 0;
    }
    m_engines.emplace_back(engine, options.report_lag_steps);
  }
  constexpr uint64_t kSeedsOfRouter = 10;
  for (size_t router = 0; router < options.routers; ++router) {
    m_routers.push_back(std::make_unique<RouterView>(
        options, options.seed * 1000 + router * kSeedsOfRouter));
  }
}

Fleet::~Fleet() = default;

core::TimePoint Fleet::Now() const {
  return core::TimePoint(kStep * m_now);
}

void Fleet::Schedule(int64_t step, std::function<void()> action) {
  m_scheduled.emplace(std::max(step, m_now + 1), std::move(action));
}

void Fleet::Arrive(size_t router, Job job) {
  const uint64_t id = ++m_last_id;
  job.id = id;
  JobState state;
  state.job = std::move(job);
  state.router = router;
  state.arrived = m_now;
  Count(state, [](Outcome& outcome) { ++outcome.offered; });
  m_jobs.emplace(id, std::move(state));
  Enter(id);
}

void Fleet::Enter(uint64_t id) {
  if (m_options.management == Management::kNoQueue) {
    EnterUnmanaged(id);
    return;
  }
  JobState& state = m_jobs.at(id);
  state.entered = m_now;
  state.attempts = 0;
  state.exclude.clear();
  const routing::PoolId pool = routing::PoolOf(kTarget);
  RouterView& router = *m_routers[state.router];
  if (router.queue.HasWaiting(pool, state.job.admission_class) ||
      !TryPlace(id)) {
    Enqueue(id);
  }
}

void Fleet::EnterUnmanaged(uint64_t id) {
  JobState& state = m_jobs.at(id);
  m_next_engine = (m_next_engine + 1) % m_engines.size();
  Send(state, m_next_engine);
  // The caller times out and retries. The engine is not notified, so it also
  // runs the first request.
  Schedule(m_now + state.job.max_wait, [this, id] {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.started) {
      return;
    }
    if (m_now - found->second.arrived > m_options.retry_window_steps) {
      Refuse(id, std::nullopt);
      return;
    }
    Count(found->second, [](Outcome& outcome) { ++outcome.refusals; });
    EnterUnmanaged(id);
  });
}

void Fleet::Enqueue(uint64_t id) {
  JobState& state = m_jobs.at(id);
  RouterView& router = *m_routers[state.router];
  const core::TimePoint start_by =
      core::TimePoint(kStep * (state.entered + state.job.max_wait));
  const routing::QueueEntry entry{core::RequestId(id),
                                  core::AccountId(state.job.account),
                                  routing::PoolOf(kTarget),
                                  routing::LaneOf(kTarget, kRule),
                                  state.job.admission_class,
                                  start_by,
                                  1};
  const routing::OfferOutcome outcome = router.queue.Offer(entry, Now());
  if (outcome.displaced) {
    Refuse(outcome.displaced->request.value(),
           outcome.displaced->refusal.retry_after);
  }
  if (outcome.refused) {
    Refuse(id, outcome.refused->retry_after);
  }
}

bool Fleet::TryPlace(uint64_t id) {
  JobState& state = m_jobs.at(id);
  RouterView& router = *m_routers[state.router];
  routing::PlacementRequest request;
  request.admission_class = state.job.admission_class;
  request.affinity = state.job.prefix;
  request.exclude = state.exclude;
  const routing::CandidateSet& set =
      router.table.CandidatesFor(kTarget, kRule, {});
  const routing::PlacementDecision decision =
      router.placement.Choose(router.table, set, request, Now());
  if (!decision.upstream) {
    return false;
  }
  SendFirst(state, EngineOf(*decision.upstream));
  return true;
}

void Fleet::SendFirst(JobState& state, size_t engine) {
  RouterView& router = *m_routers[state.router];
  if (m_options.count_own_attempts) {
    router.table.OnDispatch(EngineId(engine));
  }
  if (state.attempts == 0) {
    router.retries.OnFirstAttempt(core::AccountId(state.job.account),
                                  EngineId(engine));
  }
  Send(state, engine);
}

void Fleet::Send(JobState& state, size_t engine) {
  ++state.attempts;
  m_last_dispatch[state.router][engine] = m_now;
  Count(state, [](Outcome& outcome) { ++outcome.attempts; });
  if (m_down) {
    FailAttempt(state, engine, routing::AttemptEnd::kFailed);
    return;
  }
  const bool managed = m_options.management == Management::kFull;
  EngineWork work;
  work.attempt = ++m_last_attempt;
  work.priority = managed ? PriorityOf(state.job.admission_class) : 0;
  work.prefix = state.job.prefix;
  work.output_steps = state.job.output_steps;
  if (!m_engines[engine].Submit(work)) {
    FailAttempt(state, engine, routing::AttemptEnd::kDeclined);
    return;
  }
  m_attempts[work.attempt] = {state.job.id, engine, m_now};
}

void Fleet::FailAttempt(JobState& state,
                        size_t engine,
                        routing::AttemptEnd end) {
  if (m_options.retries == RetryMode::kRetryTwice) {
    RetryTwice(state);
    return;
  }
  RouterView& router = *m_routers[state.router];
  const core::UpstreamId upstream = EngineId(engine);
  if (end == routing::AttemptEnd::kDeclined) {
    router.table.OnDeclined(upstream, std::nullopt,
                            m_engines[engine].LaggedReport(), Now());
  } else {
    router.table.OnFailed(upstream, routing::FailureKind::kError, Now());
  }
  routing::FailedAttempt failed;
  failed.account = core::AccountId(state.job.account);
  failed.upstream = upstream;
  failed.end = end;
  failed.error = {core::ErrorId::kUpstreamFailed, upstream.value(), ""};
  failed.idempotent = true;
  failed.attempts = state.attempts;
  failed.tried = state.exclude;
  const uint64_t id = state.job.id;
  const routing::RetryDecision decision = router.retries.Decide(failed, Now());
  const auto* retry = std::get_if<routing::Retry>(&decision);
  if (retry == nullptr) {
    Schedule(m_now + 1, [this, id, decision] {
      Refuse(id, std::get<routing::GiveUp>(decision).retry_after);
    });
    return;
  }
  state.exclude = retry->exclude;
  Schedule(m_now + StepsOf(retry->after), [this, id] {
    if (!TryPlace(id)) {
      Enqueue(id);
    }
  });
}

void Fleet::RetryTwice(JobState& state) {
  const uint64_t id = state.job.id;
  if (state.attempts >= kRetryTwiceAttempts) {
    Schedule(m_now + 1, [this, id] { Refuse(id, std::nullopt); });
    return;
  }
  Schedule(m_now + 1, [this, id] {
    m_next_engine = (m_next_engine + 1) % m_engines.size();
    Send(m_jobs.at(id), m_next_engine);
  });
}

void Fleet::Refuse(uint64_t id, std::optional<core::Duration> retry_after) {
  JobState& state = m_jobs.at(id);
  Count(state, [](Outcome& outcome) { ++outcome.refusals; });
  const int64_t back =
      m_now + StepsOf(retry_after.value_or(core::Duration::zero()));
  if (retry_after && back - state.arrived < m_options.retry_window_steps) {
    Schedule(back, [this, id] { Enter(id); });
    return;
  }
  Count(state, [](Outcome& outcome) { ++outcome.refused; });
  m_jobs.erase(id);
}

void Fleet::Step() {
  ++m_now;
  while (!m_scheduled.empty() && m_scheduled.begin()->first <= m_now) {
    const std::function<void()> action = m_scheduled.begin()->second;
    m_scheduled.erase(m_scheduled.begin());
    action();
  }
  for (Engine& engine : m_engines) {
    if (m_down) {
      continue;
    }
    const EngineStep step = engine.Step();
    for (const uint64_t attempt : step.started) {
      Started(attempt);
    }
    for (const uint64_t attempt : step.done) {
      Done(attempt);
    }
  }
  for (const std::unique_ptr<RouterView>& router : m_routers) {
    for (const routing::ProbeDue& probe : router->table.TakeProbesDue(Now())) {
      const bool healthy = !m_down || m_options.probes_always_succeed;
      router->table.OnProbe(probe.upstream, healthy, std::nullopt, Now());
    }
    router->queue.Drain(Now(), [this](const routing::QueueEntry& entry) {
      return TryPlace(entry.request.value());
    });
    if (m_now % kExpireEverySteps != 0) {
      continue;
    }
    for (const auto& refusal : router->queue.Expire(Now())) {
      Refuse(refusal.request.value(), refusal.refusal.retry_after);
    }
  }
}

void Fleet::SetLeaving(size_t router, size_t engine) {
  m_routers[router]->table.SetLeaving(EngineId(engine), true);
}

void Fleet::Started(uint64_t attempt) {
  const auto found = m_jobs.find(m_attempts.at(attempt).job);
  if (found == m_jobs.end() || found->second.started) {
    return;
  }
  JobState& state = found->second;
  state.started = true;
  const int64_t wait = m_now - state.arrived;
  Count(state, [wait](Outcome& outcome) { outcome.waits.push_back(wait); });
}

void Fleet::Done(uint64_t attempt_id) {
  const Attempt attempt = m_attempts.at(attempt_id);
  m_attempts.erase(attempt_id);
  const auto found = m_jobs.find(attempt.job);
  if (found == m_jobs.end()) {
    return;
  }
  const JobState& state = found->second;
  if (m_options.management == Management::kFull) {
    m_routers[state.router]->table.OnDone(
        EngineId(attempt.engine), kStep * (m_now - attempt.sent),
        m_engines[attempt.engine].LaggedReport(), Now());
  }
  Count(state, [](Outcome& outcome) { ++outcome.finished; });
  m_jobs.erase(found);
}

void Fleet::Count(const JobState& state,
                  const std::function<void(Outcome&)>& count) {
  count(m_by_class[state.job.admission_class]);
  count(m_by_account[state.job.account]);
}

const Outcome& Fleet::OutcomeOf(v1::AdmissionClass admission_class) const {
  return m_by_class.at(admission_class);
}

const Outcome& Fleet::OutcomeOf(const std::string& account) const {
  return m_by_account.at(account);
}

double Fleet::Imbalance() const {
  double sum = 0;
  double highest = 0;
  for (const Engine& engine : m_engines) {
    sum += engine.utilization();
    highest = std::max(highest, engine.utilization());
  }
  return sum == 0 ? 1 : highest * static_cast<double>(m_engines.size()) / sum;
}

}  // namespace coppervalve::bench
