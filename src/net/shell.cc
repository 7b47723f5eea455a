#include "coppervalve/net/shell.h"

#include <algorithm>           // min
#include <atomic>              // atomic
#include <chrono>              // duration_cast, seconds
#include <condition_variable>  // condition_variable
#include <cstdio>              // snprintf
#include <mutex>               // mutex
#include <thread>              // sleep_for
#include <utility>             // move
#include <vector>              // vector

#include "action_router.h"
#include "coppervalve/net/answer_store.h"
#include "coppervalve/net/clock.h"
#include "coppervalve/net/io_pool.h"
#include "coppervalve/net/peer_link.h"
#include "coppervalve/net/process_limits.h"
#include "forward_writer.h"
#include "log_transport.h"
#include "operator_routes.h"
#include "platform_client.h"
#include "socket_util.h"
#include "traffic_worker.h"

namespace coppervalve::net {

namespace {

constexpr std::chrono::milliseconds kClosePoll{5};
// Part of the connections and bytes that operators get, so that callers can't
// shut them out.
constexpr size_t kOperatorsPart = 8;

size_t MaxClientConnections() {
  return core::LimitsForProcess(0, MaxSockets()).connections;
}

CallerLimits CallerPortLimits(CallerLimits limits) {
  const size_t all = MaxClientConnections();
  limits.max_connections =
      std::min(limits.max_connections, all - all / kOperatorsPart);
  return limits;
}

CallerLimits OperatorPortLimits(CallerLimits limits) {
  limits.max_connections =
      std::min(limits.max_connections, MaxClientConnections() / kOperatorsPart);
  limits.max_held_bytes /= kOperatorsPart;
  return limits;
}

// Makes request ids unique across processes and restarts.
std::string RequestPrefix(const ShellSettings& settings) {
  const auto ticks =
      std::chrono::system_clock::now().time_since_epoch().count();
  char text[17];
  std::snprintf(text, sizeof(text), "%llx",
                static_cast<unsigned long long>(ticks));
  return settings.router_id + "-" + text + "-";
}

}  // namespace

struct Shell::Impl {
  Impl(ShellSettings a_settings, ShellHooks a_hooks)
      : settings(std::move(a_settings)),
        hooks(std::move(a_hooks)),
        answers(settings.max_kept_answer_bytes, settings.max_kept_bytes),
        pool(settings.traffic_threads),
        control(
            [this](core::TimePoint now, const router::Event& event) {
              return Handle(now, event);
            },
            [this](router::Action action) { Execute(std::move(action)); }),
        platform(pool.Context(kPlatformThread), settings, Sink()),
        log(pool.Context(kPlatformThread), settings, Sink()),
        callers(pool, CallerPort(), CallerPortLimits(settings.caller)),
        operators(pool, OperatorPort(), OperatorPortLimits(settings.caller)) {
    if (!settings.peer_listen.empty()) {
      peers = std::make_unique<PeerClient>(pool.Context(kPlatformThread),
                                           settings.peer_secret);
    }
    shared = {&settings,
              &answers,
              peers.get(),
              Sink(),
              RequestPrefix(settings),
              std::make_shared<HeldBytes>(settings.caller.max_held_bytes)};
    for (size_t thread = 0; thread < pool.size(); ++thread) {
      workers.push_back(std::make_unique<TrafficWorker>(
          pool.Context(thread), thread, pool.size(), shared));
    }
    actions = std::make_unique<ActionRouter>(
        ActionTargets{&pool, &workers, &log, &platform, peers.get(), &answers,
                      Sink(), hooks.log, [this] { OnExit(); }});
    operator_context = {settings.operator_token, [this] { Drain(); },
                        hooks.metrics_text};
  }

  ~Impl() {
    Stop();
    // The links are closed by tasks on a thread that has ended, so the tasks
    // are run here.
    shared.peers = nullptr;
    peer_server.reset();
    peers.reset();
    pool.RunRemainingTasks();
  }

  EventSink Sink() {
    return [this](router::Event event) { control.Post(std::move(event)); };
  }

  // ---- Control thread -----------------------------------------------------

  std::vector<router::Action> Handle(core::TimePoint now,
                                     const router::Event& event) {
    if (hooks.on_event) {
      hooks.on_event(now, event);
    }
    return hooks.handler(now, event);
  }

  void Execute(router::Action action) {
    if (hooks.on_action) {
      hooks.on_action(BootNow(), action);
    }
    actions->Execute(std::move(action));
  }

  // ---- Ports --------------------------------------------------------------

  CallerHooks PortHooks() {
    CallerHooks port;
    port.disconnected = [this](size_t thread, core::RequestId request) {
      workers[thread]->OnCallerGone(request);
    };
    port.answered = [this](size_t thread, core::RequestId request) {
      workers[thread]->OnServed(request);
    };
    port.rejected = [this](const core::Error& error) {
      if (hooks.on_rejected) {
        hooks.on_rejected(error);
      }
    };
    port.draining = [this] { return draining.load(); };
    port.ended = [this](const core::ConnectionLedger::Excess& excess) {
      OnConnectionEnded(excess);
    };
    return port;
  }

  // At most one line a second: under a crowd they would be too many.
  void OnConnectionEnded(const core::ConnectionLedger::Excess& excess) {
    if (hooks.on_connection_ended) {
      hooks.on_connection_ended(excess);
    }
    ++connections_ended;
    const int64_t second = std::chrono::duration_cast<std::chrono::seconds>(
                               BootNow().time_since_epoch())
                               .count();
    if (!hooks.log || ended_logged_at.exchange(second) == second) {
      return;
    }
    hooks.log({router::LogLine::Level::kWarning,
               "connection_ended",
               {{"limit", std::string(core::ToString(excess.limit))},
                {"stage", std::string(core::ToString(excess.stage))},
                {"bytes", std::to_string(excess.bytes)},
                {"count", std::to_string(connections_ended.exchange(0))}}});
  }

  CallerHooks CallerPort() {
    CallerHooks port = PortHooks();
    port.accept = [this](size_t thread, HttpRequest request) {
      return workers[thread]->Accept(std::move(request), std::nullopt);
    };
    return port;
  }

  CallerHooks OperatorPort() {
    CallerHooks port = PortHooks();
    port.accept = [this](size_t thread, const HttpRequest& request) {
      return RouteOperator(operator_context, *workers[thread], request);
    };
    return port;
  }

  // Callers that connected while another port is not available would wait.
  core::Status Listen() {
    core::Status status = operators.Listen(settings.operator_listen);
    const bool peers_listen = peer_server && peer_server->port() != 0;
    if (core::IsOk(status) && peers && !peers_listen) {
      status = ListenForPeers();
    }
    if (core::IsOk(status)) {
      status = callers.Listen(settings.caller_listen);
    }
    return status;
  }

  core::Status ListenForPeers() {
    const auto endpoint = ParseEndpoint(settings.peer_listen);
    if (!endpoint) {
      return core::Error{core::ErrorId::kSettingBadValue, settings.peer_listen,
                         "must have the form ip:port"};
    }
    PeerServerCallbacks callbacks;
    callbacks.on_message = [this](v1::PeerMessage message) {
      control.Post(router::PeerReceived{std::move(message)});
    };
    callbacks.on_forward = [this](ForwardHead head, std::string body,
                                  std::shared_ptr<ForwardReply> reply) {
      OnForward(std::move(head), std::move(body), std::move(reply));
    };
    callbacks.on_refused = [this](const core::Error& error) {
      if (hooks.on_rejected) {
        hooks.on_rejected(error);
      }
    };
    peer_server = std::make_unique<PeerServer>(
        pool.Context(kPlatformThread), endpoint->address().to_string(),
        endpoint->port(), settings.peer_secret, std::move(callbacks));
    return peer_server->Listen();
  }

  // ---- Forwarded requests -------------------------------------------------

  void OnForward(ForwardHead head,
                 std::string body,
                 std::shared_ptr<ForwardReply> reply) {
    const size_t thread = next_forward_thread++ % pool.size();
    pool.Post(thread, [this, thread, head = std::move(head),
                       body = std::move(body), reply = std::move(reply)] {
      AcceptForward(thread, head, body, reply);
    });
  }

  void AcceptForward(size_t thread,
                     const ForwardHead& head,
                     const std::string& body,
                     const std::shared_ptr<ForwardReply>& reply) {
    TrafficWorker& worker = *workers[thread];
    // Refuses a forward to an earlier process at this address: a request with
    // an idempotency key that only that process may run could run here again.
    const bool addressed_to_us =
        !hooks.incarnation || hooks.incarnation() == head.to_incarnation;
    HttpRequest request;
    request.method = head.method;
    request.target = head.path;
    request.headers = head.headers;
    request.body = body;
    if (!head.idempotency_key.empty()) {
      request.headers.emplace_back("idempotency-key", head.idempotency_key);
    }
    const Exchange exchange =
        addressed_to_us ? worker.Accept(std::move(request), head.account)
                        : worker.RefuseNow({core::ErrorId::kOriginGone,
                                            "incarnation", "it has ended"});
    WriteForwardReply(pool.Context(thread), exchange.answer, reply,
                      [&worker, request_id = exchange.request](bool cancelled) {
                        if (cancelled) {
                          worker.OnCallerGone(request_id);
                          return;
                        }
                        worker.OnServed(request_id);
                      });
  }

  // ---- Shutdown -----------------------------------------------------------

  void Drain() {
    if (!draining.exchange(true)) {
      control.Post(router::DrainRequested{});
    }
  }

  void OnExit() {
    const std::scoped_lock lock(exit_mutex);
    exiting = true;
    exit_signal.notify_all();
  }

  void WaitForExit() {
    {
      std::unique_lock lock(exit_mutex);
      exit_signal.wait(lock, [this] { return exiting; });
    }
    callers.Close();
    operators.Close();
    const auto peers_closed = std::make_shared<std::atomic<bool>>(!peer_server);
    if (peer_server) {
      peer_server->Close([peers_closed] { *peers_closed = true; });
    }
    // The core's drain is complete, but answers may still be being written;
    // stopping now would truncate them.
    const auto deadline =
        std::chrono::steady_clock::now() + settings.close_timeout;
    while (std::chrono::steady_clock::now() < deadline) {
      const bool open = callers.OpenConnections() > 0 ||
                        operators.OpenConnections() > 0 || !*peers_closed;
      if (!open) {
        break;
      }
      std::this_thread::sleep_for(kClosePoll);
    }
    Stop();
  }

  void Stop() {
    control.Stop();
    pool.Stop();
  }

  const ShellSettings settings;
  const ShellHooks hooks;
  std::atomic<bool> draining{false};
  std::atomic<uint64_t> connections_ended{0};  // since the last line about them
  std::atomic<int64_t> ended_logged_at{0};     // second
  std::mutex exit_mutex;
  std::condition_variable exit_signal;
  bool exiting = false;

  // The members below are destroyed in reverse order: users of the threads go
  // before the thread pool.
  AnswerStore answers;
  IoPool pool;
  ControlLoop control;
  PlatformClient platform;
  LogTransport log;
  CallerServer callers;
  CallerServer operators;
  WorkerContext shared;
  std::vector<std::unique_ptr<TrafficWorker>> workers;
  std::unique_ptr<PeerClient> peers;
  std::unique_ptr<PeerServer> peer_server;
  std::atomic<size_t> next_forward_thread{0};
  std::unique_ptr<ActionRouter> actions;
  OperatorContext operator_context;
};

Shell::Shell(ShellSettings settings, ShellHooks hooks)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(hooks))) {}

Shell::~Shell() = default;

core::Status Shell::Start() {
  core::Status status = m_impl->Listen();
  if (!core::IsOk(status)) {
    return status;
  }
  m_impl->pool.Start();
  m_impl->control.Start();
  m_impl->pool.Post(kPlatformThread, [this] { m_impl->platform.Start(); });
  for (size_t thread = 0; thread < m_impl->pool.size(); ++thread) {
    m_impl->pool.Post(
        thread, [worker = m_impl->workers[thread].get()] { worker->Start(); });
  }
  return core::Ok();
}

void Shell::Drain() {
  m_impl->Drain();
}

void Shell::WaitForExit() {
  m_impl->WaitForExit();
}

uint16_t Shell::caller_port() const {
  return m_impl->callers.port();
}

uint16_t Shell::operator_port() const {
  return m_impl->operators.port();
}

uint16_t Shell::peer_port() const {
  return m_impl->peer_server ? m_impl->peer_server->port() : 0;
}

}  // namespace coppervalve::net
