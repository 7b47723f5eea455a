// Writes the heartbeats of this router and processes those of other routers.
#include <algorithm>  // max, min
#include <cmath>      // abs, lround
#include <limits>     // numeric_limits
#include <utility>    // move, exchange

#include "coppervalve/entry/heartbeat_parser.h"
#include "coppervalve/entry/heartbeat_rate.h"
#include "coppervalve/entry/predecessor_info.h"
#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// Requests per second for the capacity estimate: a third of what a core and a
// link can handle, which leaves room for bursts.
constexpr double kRequestsPerCore = 500;
constexpr double kRequestsPerMegabit = 2.5;
constexpr double kDefaultCapacity = 1'000;
// Smaller changes of the hold factor are not logged.
constexpr double kMinLoggedHoldChange = 0.05;

int64_t PerThousand(double part) {
  return std::lround(part * 1'000);
}

}  // namespace

// A record has its key and the length of the key before its value.
size_t Gateway::MaxHeartbeatBytes() const {
  const size_t overhead = 1 + m_settings.router.value().size();
  return m_settings.store_record_bytes > overhead
             ? m_settings.store_record_bytes - overhead
             : std::numeric_limits<size_t>::max();
}

void Gateway::MakeHeartbeatWriter() {
  m_max_heartbeat_bytes = MaxHeartbeatBytes();
  HeartbeatWriter::Hooks hooks;
  hooks.compose = [this](v1::RouterBeat& beat) { ComposeHeartbeat(beat); };
  hooks.period = [this] { return entry::HeartbeatPeriod(Limits()); };
  hooks.expedited_delay = [this] { return entry::ExpeditedDelay(Limits()); };
  hooks.max_spread_delay = [this] { return entry::MaxSpreadDelay(Limits()); };
  hooks.contact = [this]() -> const entry::StoreContact& { return m_contact; };
  hooks.urgent = [this] { return m_members.SelfActive(); };
  hooks.on_epoch_announced = [this](uint64_t epoch, uint64_t end) {
    m_epoch_log_end = end;
    m_announced_epoch = epoch;
    StartLoadReports();
    m_stream_writer->Start(epoch);
    StartHeartbeatsIfCaughtUp();
    LogLifecycle(LogLine("epoch_announced")
                     .Number("epoch", static_cast<int64_t>(epoch))
                     .Number("log_end", static_cast<int64_t>(end)));
  };
  hooks.on_written = [this](const v1::RouterBeat& beat) {
    m_metrics.OnStoreCall("beat_write", true);
    m_heartbeat_bytes = beat.ByteSizeLong();
    m_book.OnAcknowledged(beat.sequence(), net::BootNow());
    if (!m_grant_waiters.empty() || !m_first_heartbeat_read) {
      m_heartbeats->Expedite();
    }
    m_last_claim_written = beat.closing();
    NotifyGrantWaiters();
  };
  hooks.on_failure = [this](const core::Error& error, core::TimePoint began) {
    m_metrics.OnStoreCall("beat_write", false);
    LogLifecycle(LogLine("beat_not_written")
                     .Text("why", error.detail)
                     .Millis("after_ms", net::BootNow() - began)
                     .Flag("others_answered", m_contact.AnsweredSince(began)));
  };
  hooks.on_refused = [this](const v1::RouterBeat& beat) {
    OnHeartbeatRefused(beat.ByteSizeLong());
  };
  hooks.on_superseded = [this] {
    LogLifecycle(
        LogLine("retired").Text("why", "a newer start of this router exists"));
  };
  m_heartbeat_writer = std::make_shared<HeartbeatWriter>(
      m_io,
      HeartbeatOptions{m_settings.layout.heartbeat_topic,
                       m_settings.router.value(),
                       m_settings.layout.start_topic,
                       {}},
      m_store, m_random, std::move(hooks));
}

entry::HeartbeatLimits Gateway::Limits() const {
  entry::HeartbeatLimits limits;
  limits.store_writes_per_second = m_settings.store_writes_per_second;
  limits.live = m_members.KnownCount();
  limits.active = m_members.ActiveCount();
  limits.self_active = m_members.SelfActive();
  limits.record_bytes = m_heartbeat_bytes;
  return limits;
}

// Without records of earlier starts the size of the fleet is unknown, and all
// of it may be starting.
core::Duration Gateway::FirstWriteDelay(bool size_unknown) const {
  if (size_unknown) {
    return entry::WritePacingOptions().longest_timeout;
  }
  const double seconds = m_members.KnownCount() /
                         std::max(m_settings.store_writes_per_second, 1.0);
  return core::Duration(static_cast<int64_t>(seconds * 1e6));
}

core::Duration Gateway::LongestHeartbeatPeriod() const {
  entry::HeartbeatLimits standby = Limits();
  standby.self_active = false;
  return entry::HeartbeatPeriod(standby);
}

std::optional<v1::RouterBeat> Gateway::ParseHeartbeatRecord(
    const KeyedRecord& record) {
  core::Result<v1::RouterBeat> read = entry::ParseHeartbeat(record.value);
  if (core::IsOk(read)) {
    return core::TakeValue(std::move(read));
  }
  LogLifecycle(LogLine("beat_unreadable")
                   .Text("router", record.key)
                   .Text("why", core::Failure(read).detail));
  return std::nullopt;
}

void Gateway::OnNewestHeartbeats(const std::vector<KeyedRecord>& records) {
  uint64_t last_epoch = 0;
  for (const KeyedRecord& record : records) {
    const std::optional<v1::RouterBeat> read = ParseHeartbeatRecord(record);
    if (!read) {
      continue;
    }
    const v1::RouterBeat& beat = *read;
    const core::RouterId router(record.key);
    m_members.OnHeartbeat(router, beat);
    OnStatedVersions(beat);
    if (router != m_settings.router) {
      m_book.OnPeerHeartbeat(router, beat, net::BootNow());
      m_crashes.OnHeartbeat(beat);
      continue;
    }
    // No grant is derived from this list: it is not a snapshot and may lack a
    // record of another router that precedes ours.
    last_epoch = beat.epoch();
    m_own_record = beat;
  }
  m_members.Refresh(net::BootNow());
  if (!m_heartbeat_writer->started() && !PostponeStart()) {
    m_heartbeat_writer->Start(last_epoch, FirstWriteDelay(records.empty()));
    UpdateTableReading();
  }
}

void Gateway::OnHeartbeatRecord(const KeyedRecord& record) {
  const std::optional<v1::RouterBeat> read = ParseHeartbeatRecord(record);
  if (!read) {
    return;
  }
  const v1::RouterBeat& beat = *read;
  const core::RouterId router(record.key);
  m_heartbeat_arrivals.Add(core::Tokens(1), net::BootNow());
  m_members.OnHeartbeat(router, beat);
  OnStatedVersions(beat);
  if (router != m_settings.router) {
    m_book.OnPeerHeartbeat(router, beat, net::BootNow());
    m_crashes.OnHeartbeat(beat);
    return;
  }
  if (beat.epoch() != m_heartbeat_writer->epoch()) {
    m_own_record = beat;
    return;
  }
  m_book.OnOwnHeartbeat(beat);
  m_first_heartbeat_read = true;
  m_claims_read =
      m_first_claim_sequence != 0 && beat.sequence() >= m_first_claim_sequence;
  NotifyGrantWaiters();
}

// Once all records below the end of the announced epoch are read, no record of
// an earlier start can follow. Its last claim is then final and counts as used.
void Gateway::StartHeartbeatsIfCaughtUp() {
  if (!m_epoch_log_end || m_heartbeats_read_to < *m_epoch_log_end) {
    return;
  }
  m_epoch_log_end.reset();
  entry::PredecessorInfo predecessor_info;
  predecessor_info.boot = m_boot;
  predecessor_info.ended_by = m_load_port_bound_since;
  const bool held_back =
      entry::ReserveUntouched(m_own_record, predecessor_info);
  LogPredecessor(held_back);
  m_book.OnPredecessor(m_own_record, held_back);
  m_crashes.record().RestoreOwnReports(m_own_record, net::BootNow());
  m_heartbeat_writer->StartHeartbeats();
}

void Gateway::LogPredecessor(bool held_back) {
  int64_t claimed = 0;
  int64_t spent = 0;
  int64_t reserved = 0;
  int64_t lost_before = 0;
  for (const v1::AccountClaim& claim : m_own_record.claims()) {
    lost_before += claim.retired() - claim.retired_spent();
    claimed += claim.ceiling();
    spent += claim.spent();
    reserved += claim.reserve();
  }
  LogLifecycle(LogLine("predecessor")
                   .Number("epoch", static_cast<int64_t>(m_own_record.epoch()))
                   .Number("claimed", claimed)
                   .Number("spent", spent)
                   .Number("lost_before", lost_before)
                   .Number("held_back", held_back ? reserved : 0));
}

void Gateway::ComposeHeartbeat(v1::RouterBeat& beat) {
  beat.set_caller_address(m_settings.caller_address);
  beat.set_load_address(m_settings.load_address);
  beat.set_failure_domain(m_settings.failure_domain.value());
  // The router is ready once this heartbeat has been read back, since that
  // grants the first ceilings.
  beat.set_ready(m_in_force && KnowsUpstreams() && !m_leaving_since);
  beat.set_upstreams(
      m_upstreams_known ? static_cast<uint32_t>(m_directory.size()) : 0);
  beat.set_leaving(m_leaving_since.has_value());
  beat.set_closing(m_closing_since.has_value());
  const core::TimePoint now = net::BootNow();
  beat.set_capacity(Capacity());
  beat.set_load(m_arrivals.PerSecond(now));
  entry::ClaimContext context;
  context.routers = m_members.ActiveCount();
  context.standbys =
      m_members.LiveCount() - std::min(m_members.LiveCount(), context.routers);
  context.active = ClaimsAsActive(now);
  m_claimed_as_active = context.active;
  if (m_claimed_as_active && m_first_claim_sequence == 0) {
    m_first_claim_sequence = beat.sequence();
  }
  context.leaving = beat.leaving();
  context.closing = beat.closing();
  context.period = entry::HeartbeatPeriod(Limits());
  SetReserveTimes(beat, now);
  SetFleetFacts(beat);
  m_crashes.record().AddReportsTo(beat, now);
  StateVersions(beat);
  m_book.WriteClaims(beat, context, now);
  LogHoldFactor();
  const entry::HeartbeatOmissions omitted =
      entry::FitHeartbeat(m_max_heartbeat_bytes, beat);
  if (omitted != m_omitted) {
    m_omitted = omitted;
    LogLifecycle(
        LogLine("beat_reduced")
            .Number("bytes", static_cast<int64_t>(beat.ByteSizeLong()))
            .Flag("versions_left_out", omitted.versions)
            .Number("crashes_left_out", static_cast<int64_t>(omitted.crashes)));
  }
}

// The limit that the settings state may be missing or wrong.
void Gateway::OnHeartbeatRefused(size_t bytes) {
  m_max_heartbeat_bytes = std::min(m_max_heartbeat_bytes, bytes) / 2;
  LogLifecycle(
      LogLine("beat_refused")
          .Number("bytes", static_cast<int64_t>(bytes))
          .Number("max_bytes", static_cast<int64_t>(m_max_heartbeat_bytes)));
}

// After a power loss of the whole fleet all routers start at once, and the
// records show which of them were active. If each claimed as an active router,
// standbys would take a share from the active ones until their second claim. In
// a new fleet without records, each of hundreds of routers is active until it
// has read the first heartbeats of the others; if each claimed all accounts,
// the claims would take the store longer to send than the fleet has to start.
bool Gateway::ClaimsAsActive(core::TimePoint now) const {
  const bool settled = m_members.SinceLastJoined(now) >= m_policy.settle;
  const bool certain = settled || m_claimed_as_active ||
                       !m_grant_waiters.empty() ||
                       !m_own_record.claims().empty();
  // The first router of a new fleet finds no records of others.
  const bool alone = !m_first_heartbeat_read && m_members.LiveCount() <= 1;
  return (m_members.SelfActive() || alone) && certain;
}

void Gateway::LogHoldFactor() {
  if (std::abs(m_book.HoldFactor() - m_hold_logged) < kMinLoggedHoldChange) {
    return;
  }
  m_hold_logged = m_book.HoldFactor();
  const entry::LossHistory past = m_book.History();
  LogLifecycle(LogLine("held_ahead")
                   .Number("per_thousand", PerThousand(m_hold_logged))
                   .Number("losses_per_thousand", PerThousand(past.losses))
                   .Number("outages_per_thousand", PerThousand(past.outages)));
}

// A successor can tell that this process has ended only if the process holds
// the VM's port exclusively. The reserve is held back longer by as much as the
// heartbeat period exceeds the default.
void Gateway::SetReserveTimes(v1::RouterBeat& beat, core::TimePoint now) const {
  if (!m_load_port_bound_since || m_boot.empty() ||
      m_policy.book.held_back == core::Duration::zero()) {
    return;
  }
  const core::TimePoint not_before = now + m_policy.book.held_back +
                                     entry::HeartbeatPeriod(Limits()) -
                                     entry::kDefaultHeartbeatPeriod;
  beat.set_boot(m_boot);
  beat.set_written_at(now.time_since_epoch().count());
  beat.set_not_before(not_before.time_since_epoch().count());
}

// Estimates the capacity from the size of the VM. The cost of a request is much
// the same on all VMs, and the rates leave most of the VM free for bursts.
double Gateway::Capacity() const {
  const double by_processor =
      m_settings.processor_cores > 0
          ? m_settings.processor_cores * kRequestsPerCore
          : kDefaultCapacity;
  const double by_link =
      m_settings.link_megabits_per_second > 0
          ? m_settings.link_megabits_per_second * kRequestsPerMegabit
          : kDefaultCapacity;
  return std::min(by_processor, by_link);
}

void Gateway::NotifyGrantWaiters() {
  // Requests that still lack tokens register again, in a new list.
  const std::vector<std::function<void()>> waiting =
      std::exchange(m_grant_waiters, {});
  for (const auto& on_grant : waiting) {
    on_grant();
  }
}

}  // namespace coppervalve::gateway
