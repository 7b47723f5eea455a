#ifndef COPPERVALVE_BENCH_ROUTING_ENGINE_MODEL_H_
#define COPPERVALVE_BENCH_ROUTING_ENGINE_MODEL_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <deque>    // deque
#include <list>     // list
#include <vector>   // vector

#include "coppervalve/routing/upstream.h"

namespace coppervalve::bench {

/// @brief Options of a simulated model engine with a batch of slots, a queue
/// per priority and a cache of prompt prefixes. Time advances in steps.
struct EngineOptions {
  size_t slots = 32;
  size_t max_queue = 64;  ///< declines above this length; 0 = never
  size_t cached_prefixes = 24;
  int64_t prefill_steps = 20;  ///< when the prefix is not cached
  int64_t cached_prefill_steps = 2;
  double speed = 1;  ///< engine steps per simulation step
};

/// @brief One attempt at an engine.
struct EngineWork {
  uint64_t attempt = 0;
  uint32_t priority = 0;  ///< 0 is the most urgent
  uint64_t prefix = 0;    ///< 0 = none
  int64_t output_steps = 1;
};

/// @brief Attempts that started and finished in one step.
struct EngineStep {
  std::vector<uint64_t> started;
  std::vector<uint64_t> done;
};

/// @brief Simulated engine. Reports its load with a delay of `report_lag`
/// steps.
class Engine {
 public:
  Engine(EngineOptions options, size_t report_lag);

  /// @return false when declined
  bool Submit(const EngineWork& work);
  EngineStep Step();
  routing::LoadReport LaggedReport() const;
  size_t load() const { return m_running.size() + Queued(); }
  double utilization() const {
    return static_cast<double>(load()) / static_cast<double>(m_options.slots);
  }
  uint64_t prefix_hits() const { return m_hits; }
  uint64_t prefix_lookups() const { return m_lookups; }

 private:
  struct Running {
    uint64_t attempt = 0;
    double remaining = 0;
  };

  size_t Queued() const;
  double PrefillSteps(uint64_t prefix);
  void FillSlots(EngineStep& step);

  EngineOptions m_options;
  size_t m_report_lag;
  std::vector<std::deque<EngineWork>> m_queues;  ///< by priority
  std::vector<Running> m_running;
  std::list<uint64_t> m_cache;  ///< most recently used first
  std::deque<routing::LoadReport> m_history;
  uint64_t m_hits = 0;
  uint64_t m_lookups = 0;
};

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_ROUTING_ENGINE_MODEL_H_
