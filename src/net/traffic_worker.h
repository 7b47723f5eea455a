#ifndef COPPERVALVE_SRC_NET_TRAFFIC_WORKER_H_
#define COPPERVALVE_SRC_NET_TRAFFIC_WORKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>     // function
#include <memory>         // shared_ptr, unique_ptr
#include <optional>       // optional
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/net/answer_store.h"
#include "coppervalve/net/caller_server.h"
#include "coppervalve/net/control_loop.h"
#include "coppervalve/net/peer_client.h"
#include "coppervalve/net/shell_settings.h"
#include "coppervalve/router/events.h"
#include "held_bytes.h"
#include "upstream_attempt.h"
#include "upstream_pool.h"

namespace coppervalve::net {

/// @brief State shared by the workers of all traffic threads.
struct WorkerContext {
  const ShellSettings* settings = nullptr;
  AnswerStore* answers = nullptr;
  PeerClient* peers = nullptr;  ///< null without a peer link
  EventSink report;
  /// Prefix that makes request numbers unique outside of this process.
  std::string request_prefix;
  std::shared_ptr<HeldBytes> held_of_attempts;
};

/// @brief Handles the requests of one traffic thread: accepts them and executes
/// the core's actions on them. Used only on that thread.
class TrafficWorker {
 public:
  TrafficWorker(boost::asio::io_context& context,
                size_t thread,
                size_t threads,
                const WorkerContext& shared);
  TrafficWorker(const TrafficWorker&) = delete;
  TrafficWorker& operator=(const TrafficWorker&) = delete;
  ~TrafficWorker();

  /// @return the thread that owns a request
  static size_t OwnerOf(core::RequestId request, size_t threads) {
    return request.value() % threads;
  }

  /// @param account set when a peer router forwarded the request
  Exchange Accept(HttpRequest http,
                  const std::optional<core::AccountId>& account);
  /// @brief Requests this router's status from the core.
  /// @param readiness the answer states only whether the router accepts new
  /// work
  Exchange QueryStatus(bool readiness);
  /// @brief Answers immediately, without the core.
  Exchange AnswerNow(HttpHead head, std::string_view body);
  Exchange RefuseNow(core::Error error);

  /// @brief Starts the periodic removal of abandoned requests.
  void Start();

  void OnCallerGone(core::RequestId request);
  void OnServed(core::RequestId request);

  void Execute(const router::Dispatch& action);
  void Execute(const router::Refuse& action);
  /// @param leader the answer to join, looked up when the core decided; null
  /// when it is no longer stored
  void Execute(const router::JoinAnswer& action,
               std::shared_ptr<Answer> leader);
  void Execute(const router::Forward& action);
  void Execute(const router::CancelAttempt& action);
  void Execute(const router::ReplyJson& action);
  void Execute(const router::ForgetAnswer& action);

 private:
  struct Entry {
    HttpRequest http;
    std::shared_ptr<Answer> answer;
    std::unique_ptr<UpstreamAttempt> attempt;
    std::optional<ForwardHandle> forward;
    std::optional<core::TimePoint> deadline;
    bool stream = false;
    bool wants_usage = false;
    bool keyed = false;
    bool readiness = false;
    bool joined = false;
    std::optional<core::TimePoint>
        disconnected_at;  ///< when the caller disconnected
  };

  core::RequestId NextId();
  Entry* Find(core::RequestId request);
  void Erase(core::RequestId request);
  void DropIfAbandoned(core::RequestId request);
  void Sweep();

  void OnAttemptEvent(core::RequestId request,
                      core::AttemptId attempt,
                      router::Event event);
  void OnForwardEnd(core::RequestId request, const ForwardOutcome& outcome);
  void RefuseDispatch(const router::Dispatch& action, std::string detail);

  boost::asio::io_context& m_context;
  const size_t m_thread;
  const size_t m_threads;
  const WorkerContext& m_shared;
  uint64_t m_next = 1;
  UpstreamPool m_pool;
  boost::asio::steady_timer m_sweep;
  std::unordered_map<core::RequestId, Entry> m_requests;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_TRAFFIC_WORKER_H_
