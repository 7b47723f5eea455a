#include "daemon.h"

#include <signal.h>  // sigtimedwait, sigwait

#include <atomic>    // atomic
#include <chrono>    // milliseconds, system_clock
#include <memory>    // make_unique
#include <optional>  // optional
#include <pcg_random.hpp>
#include <random>   // random_device
#include <thread>   // thread
#include <utility>  // move

#include "coppervalve/net/clock.h"
#include "coppervalve/net/process_signals.h"
#include "coppervalve/net/shell.h"
#include "coppervalve/router/core.h"
#include "coppervalve/telemetry/log.h"
#include "coppervalve/telemetry/router_metrics.h"
#include "version.h"

namespace coppervalve::daemon {

namespace {

constexpr unsigned kSeedHalfBits = 32;
constexpr int kMinutesPerDay = 24 * 60;

pcg64 SeededGenerator() {
  std::random_device device;
  const uint64_t high = device();
  const uint64_t low = device();
  return pcg64((high << kSeedHalfBits) | low);
}

// Converts a time of the decision clock to the UTC minute of the day.
uint32_t MinuteOfDay(core::TimePoint time) {
  const auto wall = std::chrono::system_clock::now() + (time - net::BootNow());
  const auto minutes =
      std::chrono::duration_cast<std::chrono::minutes>(wall.time_since_epoch());
  return static_cast<uint32_t>(minutes.count() % kMinutesPerDay);
}

router::RouterSettings RouterSettingsOf(const Settings& settings) {
  router::RouterSettings result;
  result.router = core::RouterId(settings.shell.router_id);
  result.caller_address = settings.caller_advertise;
  result.peer_address = settings.peer_advertise;
  result.operator_address = settings.operator_advertise;
  result.failure_domain = core::FailureDomainId(settings.failure_domain);
  result.region = settings.region;
  result.version = kVersion;
  result.drain_timeout = settings.drain_timeout;
  return result;
}

/// The router core with its random generator and wall clock.
class DecisionCore {
 public:
  explicit DecisionCore(const Settings& settings)
      : m_generator(SeededGenerator()),
        m_core(RouterSettingsOf(settings),
               {[this] { return m_generator(); }, MinuteOfDay}),
        m_incarnation(m_core.incarnation().value()) {}

  std::vector<router::Action> Handle(core::TimePoint now,
                                     const router::Event& event) {
    std::vector<router::Action> actions = m_core.Handle(now, event);
    m_incarnation = m_core.incarnation().value();
    return actions;
  }

  /// Thread-safe.
  core::Incarnation incarnation() const {
    return core::Incarnation(m_incarnation.load());
  }

 private:
  pcg64 m_generator;
  router::RouterCore m_core;
  std::atomic<uint64_t> m_incarnation;
};

// Flags and variables are read once, so there is nothing to reload.
void WriteReloadLine() {
  telemetry::WriteLine({router::LogLine::Level::kWarning,
                        "reload_ignored",
                        {{"why", "settings need a restart"}}});
}

// Waits for signals on a separate thread that runs until the process exits.
// Each one to stop requests a drain; requests after the first have no effect.
void HandleSignals(net::Shell& shell) {
  std::thread([&shell] {
    const sigset_t signals = net::SupervisorSignals();
    while (true) {
      int received = 0;
      if (sigwait(&signals, &received) != 0) {
        continue;
      }
      if (received == SIGHUP) {
        WriteReloadLine();
      } else {
        shell.Drain();
      }
    }
  }).detach();
}

// @return whether a signal to stop came within the time
bool IsStopRequested(std::chrono::milliseconds within) {
  const sigset_t signals = net::SupervisorSignals();
  constexpr long kNanosPerMilli = 1'000'000;
  const timespec timeout{0, within.count() * kNanosPerMilli};
  const int received = sigtimedwait(&signals, nullptr, &timeout);
  if (received == SIGHUP) {
    WriteReloadLine();
  }
  return received == SIGTERM || received == SIGINT;
}

void WritePortLine(const core::Error& error) {
  telemetry::WriteLine({router::LogLine::Level::kWarning,
                        "port_unavailable",
                        {{"why", core::ToString(error)}}});
}

enum class StartResult { kStarted, kStopRequested };

// Ports that another process has, for example an earlier one that still ends,
// are tried again.
core::Result<StartResult> StartShell(net::Shell& shell) {
  constexpr std::chrono::milliseconds kRetryInterval{100};
  std::optional<core::Error> last;
  while (true) {
    const core::Status started = shell.Start();
    if (core::IsOk(started)) {
      return StartResult::kStarted;
    }
    const core::Error& error = core::Failure(started);
    if (error.id != core::ErrorId::kAddressUnavailable) {
      return error;
    }
    if (error != last) {
      WritePortLine(error);
      last = error;
    }
    if (IsStopRequested(kRetryInterval)) {
      return StartResult::kStopRequested;
    }
  }
}

net::ShellHooks HooksOf(DecisionCore& decision_core,
                        telemetry::RouterMetrics& metrics) {
  net::ShellHooks hooks;
  hooks.handler = [&decision_core](core::TimePoint now,
                                   const router::Event& event) {
    return decision_core.Handle(now, event);
  };
  hooks.on_event = [&metrics](core::TimePoint now, const router::Event& event) {
    metrics.OnEvent(now, event);
  };
  hooks.on_action = [&metrics](core::TimePoint now,
                               const router::Action& action) {
    metrics.OnAction(now, action);
  };
  hooks.on_rejected = [&metrics](const core::Error& error) {
    metrics.OnRejected(error);
  };
  hooks.on_connection_ended =
      [&metrics](const core::ConnectionLedger::Excess& excess) {
        metrics.OnConnectionEnded(excess.limit);
      };
  hooks.log = telemetry::WriteLine;
  hooks.metrics_text = [&metrics] { return metrics.Text(); };
  hooks.incarnation = [&decision_core] { return decision_core.incarnation(); };
  return hooks;
}

router::LogLine Line(std::string event, const Settings& settings) {
  return {router::LogLine::Level::kInfo,
          std::move(event),
          {{"router", settings.shell.router_id}, {"version", kVersion}}};
}

}  // namespace

core::Status RunDaemon(const Settings& settings) {
  // Blocked before any thread starts, so that all threads inherit the mask and
  // only the signal thread receives the signals.
  net::BlockSupervisorSignals();
  telemetry::OpenLog(settings.log_level);
  // Static, because the detached signal thread refers to the shell until the
  // process exits.
  static telemetry::RouterMetrics metrics;
  static DecisionCore decision_core(settings);
  static net::Shell shell(settings.shell, HooksOf(decision_core, metrics));
  const core::Result<StartResult> started = StartShell(shell);
  if (!core::IsOk(started)) {
    return core::Failure(started);
  }
  if (core::Value(started) == StartResult::kStarted) {
    telemetry::WriteLine(Line("started", settings));
    HandleSignals(shell);
    shell.WaitForExit();
  }
  telemetry::WriteLine(Line("stopped", settings));
  return core::Ok();
}

}  // namespace coppervalve::daemon
