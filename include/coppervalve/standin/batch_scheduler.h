#ifndef COPPERVALVE_STANDIN_BATCH_SCHEDULER_H_
#define COPPERVALVE_STANDIN_BATCH_SCHEDULER_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t, uint64_t
#include <map>      // map
#include <utility>  // pair
#include <vector>   // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::standin {

/// @brief Identifies a request within an engine.
using JobId = core::NumberId<struct JobTag>;

/// @brief A request to schedule.
struct Job {
  JobId id;               ///< unique, increases in order of arrival
  uint32_t priority = 0;  ///< 0 is the most urgent
  uint32_t prefill_steps = 1;
  core::Tokens output;  ///< tokens to produce, at least 1
};

/// @brief The effect of one step on one job.
struct StepEvent {
  enum class Kind : uint8_t { kStarted, kToken };
  Kind kind = Kind::kStarted;
  JobId job;
  core::Tokens index;  ///< position of the token in the output
  bool last = false;   ///< last token: the job has left the batch
};

/// @brief Continuous batching: each step fills free slots from the queue, by
/// priority and then by order of arrival, and produces one token for every job
/// whose prefill is done.
class BatchScheduler {
 public:
  /// @param max_batch jobs that run at once, at least 1
  /// @param queue_capacity jobs that may wait in the queue
  BatchScheduler(size_t max_batch, size_t queue_capacity);

  /// @return false when the queue is full
  /// @complexity logarithmic in the queue
  bool Submit(const Job& job);

  /// @brief Cancels a queued or running job. Unknown ids are ignored.
  /// @complexity linear in the queue
  void Cancel(JobId id);

  /// @brief Advances by one step.
  /// @complexity linear in the batch
  std::vector<StepEvent> Step();

  bool IsIdle() const { return m_running.empty() && m_waiting.empty(); }
  size_t running() const { return m_running.size(); }
  size_t queued() const { return m_waiting.size(); }
  /// @return number of steps so far
  uint64_t steps() const { return m_steps; }

 private:
  using QueueKey = std::pair<uint32_t, JobId>;
  struct Running {
    Job job;
    uint32_t prefill_left = 0;
    core::Tokens produced;
  };

  void FillBatch(std::vector<StepEvent>& events);

  size_t m_max_batch;
  size_t m_queue_capacity;
  std::map<QueueKey, Job> m_waiting;
  std::map<JobId, Running> m_running;
  uint64_t m_steps = 0;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_BATCH_SCHEDULER_H_
