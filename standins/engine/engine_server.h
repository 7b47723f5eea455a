#ifndef COPPERVALVE_STANDINS_ENGINE_ENGINE_SERVER_H_
#define COPPERVALVE_STANDINS_ENGINE_ENGINE_SERVER_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t, uint64_t
#include <map>       // map
#include <optional>  // optional
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/standin/batch_scheduler.h"
#include "coppervalve/standin/delayed_value.h"
#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/fencing_check.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/prefix_cache.h"
#include "standins/engine/completion_format.h"
#include "standins/engine/execution_records.h"

namespace coppervalve::standin {

/// @brief Settings of a model engine's stand-in.
struct EngineOptions {
  core::Duration step_time = std::chrono::milliseconds(5);
  core::Duration report_lag = std::chrono::milliseconds(200);
  size_t max_batch = 16;
  size_t queue_capacity = 64;
  size_t cached_prefixes = 64;
  uint32_t prefill_tokens_per_step = 64;
  bool early_stop = false;
  bool checks_fencing = false;
  std::vector<std::string> models;  ///< empty: serves every model
  std::string record_path;
};

/// @brief Injected faults, described at EngineServer::HandleFault().
enum class EngineFault : uint8_t {
  kNone,
  kSlow,
  kSilent,
  kCutAfter,
  kError,
  kRefuse,
};

/// @brief Stand-in of a model engine with continuous batching.
class EngineServer {
 public:
  EngineServer(EventLoop& loop, const EngineOptions& options);

  /// @brief Serves one request.
  void Handle(const HttpRequest& request, const HttpExchange& exchange);

 private:
  struct Load {
    size_t running = 0;
    size_t queued = 0;
  };
  struct ActiveRequest {
    CompletionRequest request;
    Execution execution;
    HttpExchange exchange;
    core::Tokens output;
    std::optional<size_t> record;  ///< set when the job starts to run
    std::string text;
    bool head_sent = false;
    bool silenced = false;  ///< hit by the silent fault
  };
  using ActiveMap = std::map<JobId, ActiveRequest>;

  bool HandleAdmin(const HttpRequest& request, HttpExchange exchange);
  bool HandleFault(HttpExchange exchange) const;
  void Route(const HttpRequest& request, HttpExchange exchange);
  void HandleCompletion(const HttpRequest& request, HttpExchange exchange);
  void Submit(const HttpRequest& request,
              HttpExchange exchange,
              CompletionRequest completion);
  uint32_t PrefillSteps(const CompletionRequest& completion,
                        core::Tokens prompt);
  bool Serves(const std::string& model) const;

  void StartStepping();
  void RunStep();
  void OnStarted(ActiveRequest& active);
  void OnToken(ActiveMap::iterator active, const StepEvent& event);
  void SendToken(ActiveRequest& active, const StepEvent& event);
  void FinishAnswer(ActiveRequest& active);
  bool ShouldCutStream(const ActiveRequest& active,
                       const StepEvent& event) const;
  void RemoveJob(JobId id, ExecutionState state);
  core::Duration StepTime() const;

  HttpResponse AddLoadHeaders(HttpResponse response);
  void UpdateLoad();
  void SendLoad(HttpExchange exchange);
  void HandleOrder(const HttpRequest& request, HttpExchange exchange);
  void HandleControl(const HttpRequest& request, HttpExchange exchange);

  EventLoop& m_loop;
  EngineOptions m_options;
  BatchScheduler m_scheduler;
  PrefixCache m_cache;
  FencingCheck m_fencing;
  ExecutionRecords m_records;
  DelayedValue<Load> m_load;
  ActiveMap m_active;
  uint64_t m_last_job = 0;
  bool m_step_scheduled = false;
  core::TimePoint m_next_step;

  EngineFault m_fault = EngineFault::kNone;
  core::Duration m_slow_step{};
  core::Tokens m_cut_after;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_ENGINE_ENGINE_SERVER_H_
