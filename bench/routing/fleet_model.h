#ifndef COPPERVALVE_BENCH_ROUTING_FLEET_MODEL_H_
#define COPPERVALVE_BENCH_ROUTING_FLEET_MODEL_H_

#include <algorithm>      // max
#include <cstdint>        // int64_t, uint64_t
#include <functional>     // function
#include <map>            // multimap
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "bench/routing/engine_model.h"
#include "coppervalve/routing/admission_queue.h"
#include "coppervalve/routing/placement.h"
#include "coppervalve/routing/retry_policy.h"
#include "coppervalve/routing/upstream_table.h"

namespace coppervalve::bench {

/// @brief Duration of one simulation step.
constexpr core::Duration kStep{5'000};
constexpr int64_t kStepsPerSecond = 200;

/// @brief Returns a seeded source of randomness.
routing::RandomSource Seeded(uint64_t seed);

/// @brief Makes a policy from its source of randomness.
using PolicyMaker =
    std::function<routing::PlacementPolicy(routing::RandomSource random)>;

/// @brief How requests are sent to the engines.
enum class Management {
  kFull,     ///< admission queues, limits, priorities, retry budgets
  kNoQueue,  ///< immediate round robin into unbounded engine FIFO queues
};

/// @brief How failed attempts are retried.
enum class RetryMode { kPolicy, kRetryTwice };

/// @brief Options of a simulated fleet and its engines.
struct FleetOptions {
  size_t routers = 7;
  std::vector<EngineOptions> engines = std::vector<EngineOptions>(12);
  size_t report_lag_steps = 0;
  PolicyMaker policy = routing::DefaultPolicy;
  Management management = Management::kFull;
  RetryMode retries = RetryMode::kPolicy;
  bool probes_always_succeed = false;  ///< probes succeed while requests fail
  bool count_own_attempts = true;      ///< false: estimate by reports alone
  /// Time after their first try during which refused callers retry.
  int64_t retry_window_steps = 0;
  uint64_t seed = 1;
};

/// @brief One request of a caller.
struct Job {
  uint64_t id = 0;
  std::string account;
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  uint64_t prefix = 0;
  int64_t output_steps = 1;
  int64_t max_wait = 0;  ///< steps after which a start is useless
};

/// @brief Results of the jobs of one class or account.
struct Outcome {
  uint64_t offered = 0;
  uint64_t finished = 0;
  uint64_t refused = 0;        ///< refused for good, with a typed refusal
  uint64_t refusals = 0;       ///< all refusals, including those of retries
  uint64_t attempts = 0;       ///< attempts sent to an engine
  std::vector<int64_t> waits;  ///< steps from the first try to the start

  double FinishedShare() const { return PerRequest(finished); }
  double PerRequest(uint64_t count) const {
    return static_cast<double>(count) /
           static_cast<double>(std::max<uint64_t>(offered, 1));
  }
};

/// @brief Simulated routers that share engines, in virtual time.
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);
  ~Fleet();

  /// @brief Adds the first try of a caller at one router.
  void Arrive(size_t router, Job job);
  void Step();
  void SetEnginesDown(bool down) { m_down = down; }
  /// @brief Marks an engine as leaving at one router.
  void SetLeaving(size_t router, size_t engine);

  int64_t now() const { return m_now; }
  size_t routers() const { return m_routers.size(); }
  const std::vector<Engine>& engines() const { return m_engines; }
  const Outcome& OutcomeOf(v1::AdmissionClass admission_class) const;
  const Outcome& OutcomeOf(const std::string& account) const;
  /// @brief Jobs that have neither finished nor been refused for good.
  uint64_t Unfinished() const { return m_jobs.size(); }
  /// @brief Step of the router's last attempt at the engine; -1 when there was
  /// none.
  int64_t LastDispatch(size_t router, size_t engine) const {
    return m_last_dispatch[router][engine];
  }
  /// @brief Ratio of the largest to the mean current utilization of the
  /// engines.
  double Imbalance() const;

 private:
  struct RouterView;
  struct JobState;
  struct Attempt {
    uint64_t job = 0;
    size_t engine = 0;
    int64_t sent = 0;
  };

  core::TimePoint Now() const;
  void Schedule(int64_t step, std::function<void()> action);
  void Enter(uint64_t id);
  void EnterUnmanaged(uint64_t id);
  bool TryPlace(uint64_t id);
  void SendFirst(JobState& state, size_t engine);
  void Send(JobState& state, size_t engine);
  void FailAttempt(JobState& state, size_t engine, routing::AttemptEnd end);
  void RetryTwice(JobState& state);
  void Refuse(uint64_t id, std::optional<core::Duration> retry_after);
  void Enqueue(uint64_t id);
  void Started(uint64_t attempt);
  void Done(uint64_t attempt);
  void Count(const JobState& state, const std::function<void(Outcome&)>& count);

  FleetOptions m_options;
  std::vector<Engine> m_engines;
  std::vector<std::unique_ptr<RouterView>> m_routers;
  std::unordered_map<uint64_t, JobState> m_jobs;
  std::unordered_map<uint64_t, Attempt> m_attempts;
  std::multimap<int64_t, std::function<void()>> m_scheduled;
  std::unordered_map<int, Outcome> m_by_class;
  std::unordered_map<std::string, Outcome> m_by_account;
  std::vector<std::vector<int64_t>> m_last_dispatch;  ///< by router, engine
  size_t m_next_engine = 0;
  uint64_t m_last_id = 0;
  uint64_t m_last_attempt = 0;
  int64_t m_now = 0;
  bool m_down = false;
};

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_ROUTING_FLEET_MODEL_H_
