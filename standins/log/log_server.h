#ifndef COPPERVALVE_STANDINS_LOG_LOG_SERVER_H_
#define COPPERVALVE_STANDINS_LOG_LOG_SERVER_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <list>     // list
#include <string>   // string

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/platform.pb.h"
#include "coppervalve/standin/delayed_value.h"
#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/log_store.h"
#include "coppervalve/standin/rate_limiter.h"

namespace coppervalve::standin {

/// @brief Settings of the log's stand-in.
struct LogServerOptions {
  size_t retain_entries = 0;
  uint64_t max_appends_per_second = 0;
  core::Duration vm_lag{};
};

/// @brief Injected faults, described at LogServer::ServeUnderFault().
enum class LogFault : uint8_t { kNone, kDown, kSlow, kLoseReplies, kHang };

/// @brief Stand-in of the platform's log service and VM list.
class LogServer {
 public:
  LogServer(EventLoop& loop, const LogServerOptions& options);

  /// @brief Serves one request.
  void Handle(const HttpRequest& request, const HttpExchange& exchange);

 private:
  struct PendingRead {
    uint64_t id = 0;
    core::LogOffset from;
    size_t max_bytes = 0;
    HttpExchange exchange;
  };

  LogFault FaultFor(const HttpRequest& request) const;
  void ServeUnderFault(const HttpRequest& request,
                       const HttpExchange& exchange);
  void Serve(const HttpRequest& request, const HttpExchange& exchange);
  void Append(const HttpRequest& request, HttpExchange exchange);
  bool ShouldLoseReply();
  void Read(const HttpRequest& request, HttpExchange exchange);
  void StartLongPoll(PendingRead read, core::Duration wait);
  void EndLongPoll(uint64_t id);
  void EndAllLongPolls();
  void AnswerRead(const PendingRead& read);
  void SendVms(HttpExchange exchange);
  void SetVms(const HttpRequest& request, HttpExchange exchange);
  void HandleControl(const HttpRequest& request, HttpExchange exchange);
  void SendStats(HttpExchange exchange) const;

  EventLoop& m_loop;
  LogStore m_store;
  RateLimiter m_append_limiter;
  DelayedValue<v1::VmList> m_vms;
  std::list<PendingRead> m_long_polls;
  uint64_t m_next_read_id = 0;

  LogFault m_fault = LogFault::kNone;
  std::string m_fault_client;
  bool m_fault_covers_vms = false;
  core::Duration m_response_delay{};
  double m_lose_ratio = 1.0;
  uint64_t m_loss_counter = 0;

  uint64_t m_appends = 0;
  uint64_t m_refused_appends = 0;
  uint64_t m_lost_replies = 0;
  uint64_t m_reads = 0;
  uint64_t m_bytes_in = 0;
  uint64_t m_bytes_out = 0;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDINS_LOG_LOG_SERVER_H_
