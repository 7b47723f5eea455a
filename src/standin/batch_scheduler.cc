#include "coppervalve/standin/batch_scheduler.h"

#include <iterator>  // next

namespace coppervalve::standin {

BatchScheduler::BatchScheduler(size_t max_batch, size_t queue_capacity)
    : m_max_batch(max_batch), m_queue_capacity(queue_capacity) {}

bool BatchScheduler::Submit(const Job& job) {
  // Jobs enter the batch only at the next step, so free batch slots count as
  // queue capacity.
  const size_t room = m_max_batch + m_queue_capacity;
  if (m_running.size() + m_waiting.size() >= room) {
    return false;
  }
  m_waiting.emplace(QueueKey(job.priority, job.id), job);
  return true;
}

void BatchScheduler::Cancel(JobId id) {
  m_running.erase(id);
  std::erase_if(m_waiting,
                [id](const auto& entry) { return entry.second.id == id; });
}

std::vector<StepEvent> BatchScheduler::Step() {
  std::vector<StepEvent> events;
  ++m_steps;
  FillBatch(events);
  for (auto it = m_running.begin(); it != m_running.end();) {
    Running& running = it->second;
    if (running.prefill_left > 0) {
      --running.prefill_left;
      ++it;
      continue;
    }
    const core::Tokens index = running.produced;
    running.produced += core::Tokens(1);
    const bool last = running.produced == running.job.output;
    events.push_back({StepEvent::Kind::kToken, running.job.id, index, last});
    it = last ? m_running.erase(it) : std::next(it);
  }
  return events;
}

void BatchScheduler::FillBatch(std::vector<StepEvent>& events) {
  while (m_running.size() < m_max_batch && !m_waiting.empty()) {
    const Job job = m_waiting.begin()->second;
    m_waiting.erase(m_waiting.begin());
    m_running.emplace(job.id, Running{job, job.prefill_steps, {}});
    events.push_back({StepEvent::Kind::kStarted, job.id, {}, false});
  }
}

}  // namespace coppervalve::standin
