#include "coppervalve/gateway/reach_monitor.h"

#include <algorithm>  // count_if, max
#include <utility>    // move

#include "coppervalve/net/clock.h"
#include "relay_protocol.h"

namespace coppervalve::gateway {

namespace {

constexpr core::Duration kFailedRelayPause{1'000'000};
// Routers asked for a second opinion until enough have one.
constexpr size_t kMaxAsked = 4;
// One router alone may be partitioned as well.
constexpr size_t kRequiredRefusals = 2;

}  // namespace

ReachMonitor::ReachMonitor(Context context)
    : m_context(std::move(context)),
      m_relays(kFailedRelayPause, m_context.random) {}

std::optional<std::string> ReachMonitor::RelayFor(
    const entry::UpstreamEntry& upstream,
    const std::vector<std::string>& avoided,
    core::TimePoint now) const {
  if (!IsPartitioned(upstream.service) || !IsRelayable(upstream.id)) {
    return std::nullopt;
  }
  const auto relay = ChooseRelay(avoided, now);
  return relay ? relay : ChooseRelay({}, now);
}

std::optional<std::string> ReachMonitor::ChooseRelay(
    const std::vector<std::string>& excluded,
    core::TimePoint now) const {
  const auto relay = m_relays.Choose(m_context.active_peers(), excluded, now);
  return relay ? relay
               : m_relays.Choose(m_context.standby_peers(), excluded, now);
}

bool ReachMonitor::NobodyReaches(const core::ServiceId& service,
                                 core::TimePoint now) const {
  return IsPartitioned(service) && RelayCount() != 0 && !ChooseRelay({}, now);
}

void ReachMonitor::OnOpened(const entry::UpstreamEntry& upstream,
                            const std::string& relay,
                            core::TimePoint now) {
  if (!relay.empty()) {
    m_reach.OnReachedByPeer(upstream.service, upstream.address, now);
    return;
  }
  OnReached(upstream.service);
}

void ReachMonitor::OnReached(const core::ServiceId& service) {
  if (m_reach.OnOpened(service)) {
    Log(LogLine("upstreams_reached_again"), service);
  }
}

void ReachMonitor::OnFailed(const entry::UpstreamEntry& upstream,
                            core::TimePoint now) {
  const core::ServiceId& service = upstream.service;
  const size_t usable = CountUsable(service, now);
  if (m_reach.OnFailed(service, upstream.id, usable, now)) {
    OnPartitioned(service);
  }
  if (m_reach.ShouldProbe(service, usable)) {
    ProbeAnother(service, now);
  }
}

bool ReachMonitor::IsUsable(const entry::Upstream& upstream,
                            core::TimePoint now) const {
  return m_context.gate.StateOf(upstream, now) == entry::GateState::kOpen;
}

// Upstreams that get no request can't show a partition.
size_t ReachMonitor::CountUsable(const core::ServiceId& service,
                                 core::TimePoint now) const {
  const auto& upstreams = m_context.directory.Of(service);
  if (upstreams.empty()) {
    return 0;
  }
  const auto usable = std::count_if(
      upstreams.begin(), upstreams.end(),
      [&](const entry::UpstreamRef& one) { return IsUsable(*one, now); });
  return std::max(static_cast<size_t>(usable), size_t{1});
}

// Requests use open connections to the upstreams that work, so after several
// crashes the only connections that are opened may be those that fail.
void ReachMonitor::ProbeAnother(const core::ServiceId& service,
                                core::TimePoint now) {
  if (m_probed.contains(service)) {
    return;
  }
  std::vector<entry::UpstreamRef> candidates;
  for (const entry::UpstreamRef& one : m_context.directory.Of(service)) {
    if (!m_reach.HasFailed(service, one->entry.id) && IsUsable(*one, now)) {
      candidates.push_back(one);
    }
  }
  if (candidates.empty()) {
    return;
  }
  const entry::UpstreamEntry& chosen =
      candidates[routing::UniformBelow(m_context.random, candidates.size())]
          ->entry;
  m_probed.insert(service);
  m_context.dialer.Dial(
      chosen.address, kUpstreamConnectTimeout,
      [this, upstream = chosen](ConnectResult result,
                                boost::asio::ip::tcp::socket /*socket*/) {
        OnProbed(upstream, result == ConnectResult::kOpen);
      });
}

void ReachMonitor::OnProbed(const entry::UpstreamEntry& upstream, bool opened) {
  m_probed.erase(upstream.service);
  if (opened) {
    OnOpened(upstream, {}, net::BootNow());
  } else {
    OnFailed(upstream, net::BootNow());
  }
}

void ReachMonitor::OnRelayFailed(const std::string& relay,
                                 core::TimePoint now) {
  m_relays.OnFailed(relay, now);
}

void ReachMonitor::AskOthers(const entry::UpstreamEntry& upstream,
                             std::function<void()> on_refused) {
  if (RelayCount() == 0) {
    on_refused();
    return;
  }
  AskNext(upstream, std::move(on_refused), {});
}

// A connection through another router that is closed when it opens.
void ReachMonitor::OpenToCheck(const std::string& relay,
                               const core::UpstreamId& upstream,
                               OnChecked on_checked) {
  const UpstreamConnectionRef connection =
      m_context.pool.OpenThrough(relay, upstream);
  UpstreamConnection::Handlers handlers;
  handlers.may_send = [] { return false; };
  // Keeps the connection until it ends.
  handlers.on_end = [connection, on_checked = std::move(on_checked)](
                        AttemptEnd end, std::string_view /*why*/) {
    const auto result = connection->relay_result();
    if (end == AttemptEnd::kWithheld) {
      on_checked(EndCheck::kAccepts, result);
    } else if (result == RelayResult::kRefused) {
      on_checked(EndCheck::kRefuses, result);
    } else {
      on_checked(EndCheck::kUnknown, result);
    }
  };
  connection->Send({}, false, std::move(handlers));
}

void ReachMonitor::AskNext(const entry::UpstreamEntry& upstream,
                           std::function<void()> on_refused,
                           Opinions opinions) {
  if (opinions.refusals == kRequiredRefusals) {
    on_refused();
    return;
  }
  if (opinions.asked.size() == kMaxAsked || !IsRelayable(upstream.id)) {
    return;
  }
  const std::optional<std::string> relay =
      ChooseRelay(opinions.asked, net::BootNow());
  if (!relay) {
    if (opinions.refusals != 0) {
      on_refused();
    }
    return;
  }
  opinions.asked.push_back(*relay);
  OpenToCheck(
      *relay, upstream.id,
      [this, upstream, relay = *relay, on_refused = std::move(on_refused),
       opinions = std::move(opinions)](
          EndCheck check, std::optional<RelayResult> result) mutable {
        if (check == EndCheck::kAccepts) {
          return;
        }
        if (check == EndCheck::kRefuses) {
          ++opinions.refusals;
        } else if (result != RelayResult::kUnreachable) {
          m_relays.OnFailed(relay, net::BootNow());
        }
        AskNext(upstream, std::move(on_refused), std::move(opinions));
      });
}

void ReachMonitor::CheckRefuses(const entry::UpstreamEntry& upstream,
                                const std::string& relay,
                                std::function<void(EndCheck)> on_done) {
  if (!relay.empty()) {
    CheckThrough(relay, upstream.id, {}, std::move(on_done));
    return;
  }
  m_context.dialer.Dial(
      upstream.address, kUpstreamConnectTimeout,
      [on_done = std::move(on_done)](ConnectResult result,
                                     boost::asio::ip::tcp::socket /*socket*/) {
        switch (result) {
          case ConnectResult::kOpen:
            on_done(EndCheck::kAccepts);
            return;
          case ConnectResult::kRefused:
            on_done(EndCheck::kRefuses);
            return;
          default:
            on_done(EndCheck::kUnknown);
        }
      });
}

// A relay declines if it is partitioned itself, so others are asked.
void ReachMonitor::CheckThrough(const std::string& relay,
                                const core::UpstreamId& upstream,
                                std::vector<std::string> asked,
                                std::function<void(EndCheck)> on_done) {
  asked.push_back(relay);
  OpenToCheck(
      relay, upstream,
      [this, upstream, asked = std::move(asked), on_done = std::move(on_done)](
          EndCheck check, std::optional<RelayResult> /*result*/) mutable {
        std::optional<std::string> next;
        if (check == EndCheck::kUnknown && asked.size() < kMaxAsked) {
          next = ChooseRelay(asked, net::BootNow());
        }
        if (next) {
          CheckThrough(*next, upstream, std::move(asked), std::move(on_done));
        } else {
          on_done(check);
        }
      });
}

// The failures are not the upstreams': other routers may reach them, and after
// the partition they must not count as restarted. Idle connections may hang.
void ReachMonitor::OnPartitioned(const core::ServiceId& service) {
  Log(LogLine("upstreams_out_of_reach"), service);
  if (RelayCount() == 0) {
    return;
  }
  for (const entry::UpstreamRef& upstream : m_context.directory.Of(service)) {
    upstream->health.Forgive();
    upstream->warm_up.unreachable_at.reset();
    m_context.pool.CloseAll(upstream->entry.id);
  }
}

void ReachMonitor::Advance(core::TimePoint now) {
  for (const entry::UpstreamReach::Check& check : m_reach.TakeDueChecks(now)) {
    CheckReach(check.service, check.address);
  }
  for (const core::ServiceId& service : m_reach.TakeDueProbes(now)) {
    const auto& upstreams = m_context.directory.Of(service);
    if (!upstreams.empty()) {
      const uint64_t chosen =
          routing::UniformBelow(m_context.random, upstreams.size());
      CheckReach(service, upstreams[chosen]->entry.address);
    }
  }
}

void ReachMonitor::CheckReach(const core::ServiceId& service,
                              const std::string& address) {
  m_context.dialer.Dial(
      address, kUpstreamConnectTimeout,
      [this, service](ConnectResult result,
                      boost::asio::ip::tcp::socket /*socket*/) {
        if (result == ConnectResult::kOpen) {
          OnReached(service);
        }
      });
}

void ReachMonitor::Log(LogLine line, const core::ServiceId& service) {
  m_context.log.Write(
      LogCategory::kLifecycle,
      line.Text("service", service.value())
          .Number("relays", static_cast<int64_t>(RelayCount())));
}

size_t ReachMonitor::RelayCount() const {
  return m_context.active_peers().size() + m_context.standby_peers().size();
}

}  // namespace coppervalve::gateway
