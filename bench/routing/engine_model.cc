#include "bench/routing/engine_model.h"

#include <algorithm>  // find

namespace coppervalve::bench {

namespace {

constexpr size_t kPriorities = 3;

}  // namespace

Engine::Engine(EngineOptions options, size_t report_lag)
    : m_options(options), m_report_lag(report_lag), m_queues(kPriorities) {}

bool Engine::Submit(const EngineWork& work) {
  if (m_options.max_queue > 0 && Queued() >= m_options.max_queue) {
    return false;
  }
  m_queues[work.priority].push_back(work);
  return true;
}

EngineStep Engine::Step() {
  EngineStep step;
  FillSlots(step);
  std::vector<Running> still_running;
  for (Running& running : m_running) {
    running.remaining -= m_options.speed;
    if (running.remaining <= 0) {
      step.done.push_back(running.attempt);
      continue;
    }
    still_running.push_back(running);
  }
  m_running = std::move(still_running);
  m_history.push_back({static_cast<uint32_t>(m_running.size()),
                       static_cast<uint32_t>(Queued())});
  if (m_history.size() > m_report_lag + 1) {
    m_history.pop_front();
  }
  return step;
}

void Engine::FillSlots(EngineStep& step) {
  for (std::deque<EngineWork>& queue : m_queues) {
    while (!queue.empty() && m_running.size() < m_options.slots) {
      const EngineWork work = queue.front();
      queue.pop_front();
      const double steps =
          PrefillSteps(work.prefix) + static_cast<double>(work.output_steps);
      m_running.push_back({work.attempt, steps});
      step.started.push_back(work.attempt);
    }
  }
}

double Engine::PrefillSteps(uint64_t prefix) {
  if (prefix == 0) {
    return static_cast<double>(m_options.cached_prefill_steps);
  }
  ++m_lookups;
  const auto found = std::find(m_cache.begin(), m_cache.end(), prefix);
  if (found != m_cache.end()) {
    ++m_hits;
    m_cache.splice(m_cache.begin(), m_cache, found);
    return static_cast<double>(m_options.cached_prefill_steps);
  }
  m_cache.push_front(prefix);
  if (m_cache.size() > m_options.cached_prefixes) {
    m_cache.pop_back();
  }
  return static_cast<double>(m_options.prefill_steps);
}

routing::LoadReport Engine::LaggedReport() const {
  return m_history.empty() ? routing::LoadReport{} : m_history.front();
}

size_t Engine::Queued() const {
  size_t queued = 0;
  for (const std::deque<EngineWork>& queue : m_queues) {
    queued += queue.size();
  }
  return queued;
}

}  // namespace coppervalve::bench
