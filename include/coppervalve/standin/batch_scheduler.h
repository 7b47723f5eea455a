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

/// @brief One request inside an engine.
using JobId = core::NumberId<struct JobTag>;

/// @brief Work for the batch.
struct Job {
  JobId id;               ///< unique, growing in order of arrival
  uint32_t priority = 0;  ///< 0 is the most urgent
  uint32_t prefill_steps = 1;
  core::Tokens output;  ///< tokens to produce, at least 1
};

/// @brief What one step did to one job.
struct StepEvent {
  enum class Kind : uint8_t { kStarted, kToken };
  Kind kind = Kind::kStarted;
  JobId job;
  core::Tokens index;  ///< of the token
  bool last = false;   ///< the job has left the batch
};

/// @brief Continuous batching: each step gives every job in the batch one token
/// (after its prefill) and fills free places from the queue, the most urgent
/// first, then by arrival.
class BatchScheduler {
 public:
  /// @param max_batch jobs that run at once, at least 1
  /// @param queue_capacity jobs that may wait beside them
  BatchScheduler(size_t max_batch, size_t queue_capacity);

  /// @return whether the job was taken; it was not when the queue is full
  /// @complexity logarithmic in the queue
  bool Submit(const Job& job);

  /// @brief Drops a job, waiting or running. Unknown ids are ignored.
  /// @complexity linear in the queue
  void Cancel(JobId id);

  /// @brief Advances by one step.
  /// @complexity linear in the batch
  std::vector<StepEvent> Step();

  bool IsIdle() const { return m_running.empty() && m_waiting.empty(); }
  size_t running() const { return m_running.size(); }
  size_t queued() const { return m_waiting.size(); }
  /// @return steps made so far
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
