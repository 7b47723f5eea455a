// What this router writes of itself into the store, and what it reads of
// others.
#include <algorithm>  // max, min
#include <cmath>      // abs, lround
#include <utility>    // move, exchange

#include "coppervalve/entry/beat_rate.h"
#include "coppervalve/entry/beat_reader.h"
#include "coppervalve/entry/succession.h"
#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// A third of what a core and a link were measured to take: bursts need room.
constexpr double kRequestsPerCore = 500;
constexpr double kRequestsPerMegabit = 2.5;
constexpr double kUnsaidCapacity = 1'000;
// Smaller changes of what is held ahead are not told.
constexpr double kHoldChange = 0.05;

int64_t PerThousand(double part) {
  return std::lround(part * 1'000);
}

}  // namespace

void Gateway::MakeBeatWriter() {
  BeatWriter::Hooks hooks;
  hooks.compose = [this](v1::RouterBeat& beat) { ComposeBeat(beat); };
  hooks.period = [this] { return entry::BeatPeriod(Limits()); };
  hooks.hurried_gap = [this] { return entry::HurriedGap(Limits()); };
  hooks.on_fenced = [this](uint64_t epoch, uint64_t end) {
    m_fenced_at = end;
    ShareLoads(epoch);
    BeginBeatsIfAllRead();
    Lifecycle(LogLine("epoch_announced")
                  .Number("epoch", static_cast<int64_t>(epoch))
                  .Number("log_end", static_cast<int64_t>(end)));
  };
  hooks.on_written = [this](const v1::RouterBeat& beat) {
    m_metrics.OnStoreCall("beat_write", true);
    m_book.OnWritten(beat.sequence(), net::BootNow());
    if (!m_waiting.empty() || !m_first_beat_back) {
      m_beats->Hurry();
    }
    m_last_claim_written = beat.closing();
    GrantsChanged();
  };
  hooks.on_failure = [this](const core::Error& error) {
    m_metrics.OnStoreCall("beat_write", false);
    Lifecycle(LogLine("beat_not_written").Text("why", error.detail));
  };
  hooks.on_retired = [this] {
    Lifecycle(LogLine("retired").Text("why", "a newer start exists"));
  };
  m_writer = std::make_shared<BeatWriter>(
      m_io,
      BeatOptions{m_settings.layout.beat_topic, m_settings.router.value()},
      m_store, m_random, std::move(hooks));
}

entry::BeatLimits Gateway::Limits() const {
  entry::BeatLimits limits;
  limits.store_writes_per_second = m_settings.store_writes_per_second;
  limits.live = m_members.Live();
  limits.active = m_members.Active();
  limits.self_active = m_members.SelfActive();
  return limits;
}

std::optional<v1::RouterBeat> Gateway::ReadBeatRecord(
    const KeyedRecord& record) {
  core::Result<v1::RouterBeat> read = entry::ReadBeat(record.value);
  if (core::IsOk(read)) {
    return core::TakeValue(std::move(read));
  }
  Lifecycle(LogLine("beat_unreadable")
                .Text("router", record.key)
                .Text("why", core::Failure(read).detail));
  return std::nullopt;
}

void Gateway::OnNewestBeats(const std::vector<KeyedRecord>& records) {
  uint64_t last_epoch = 0;
  for (const KeyedRecord& record : records) {
    const std::optional<v1::RouterBeat> read = ReadBeatRecord(record);
    if (!read) {
      continue;
    }
    const v1::RouterBeat& beat = *read;
    const core::RouterId router(record.key);
    m_members.OnBeat(router, beat, net::BootNow());
    if (router != m_settings.router) {
      m_book.OnOtherBeat(router, beat, net::BootNow());
      m_crashes.OnBeat(beat);
      continue;
    }
    // No grant is taken from here: the list is not a snapshot, and a record
    // of another router that came before ours may be missing in it.
    last_epoch = beat.epoch();
    m_own_record = beat;
  }
  if (m_writer->epoch() == 0) {
    m_writer->Start(last_epoch);
    ChooseTableReaders();
  }
}

void Gateway::OnBeatRecord(const KeyedRecord& record) {
  const std::optional<v1::RouterBeat> read = ReadBeatRecord(record);
  if (!read) {
    return;
  }
  const v1::RouterBeat& beat = *read;
  const core::RouterId router(record.key);
  m_members.OnBeat(router, beat, net::BootNow());
  if (router != m_settings.router) {
    m_book.OnOtherBeat(router, beat, net::BootNow());
    m_crashes.OnBeat(beat);
    return;
  }
  if (beat.epoch() != m_writer->epoch()) {
    m_own_record = beat;
    return;
  }
  m_book.OnOwnBeat(beat);
  m_first_beat_back = true;
  GrantsChanged();
}

// Once everything below the announced epoch is read, no record of an earlier
// start can follow: what it claimed last is final and counts as used.
void Gateway::BeginBeatsIfAllRead() {
  if (!m_fenced_at || m_beats_read < *m_fenced_at) {
    return;
  }
  m_fenced_at.reset();
  entry::Succession succession;
  succession.boot = m_boot;
  succession.alone_since = m_alone_since;
  const bool held_back = entry::HeldBack(m_own_record, succession);
  TellPredecessor(held_back);
  m_book.OnPredecessor(m_own_record, held_back);
  m_crashes.record().RestoreOwnReports(m_own_record, net::BootNow());
  m_writer->BeginBeats();
}

void Gateway::TellPredecessor(bool held_back) {
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
  Lifecycle(LogLine("predecessor")
                .Number("epoch", static_cast<int64_t>(m_own_record.epoch()))
                .Number("claimed", claimed)
                .Number("spent", spent)
                .Number("lost_before", lost_before)
                .Number("held_back", held_back ? reserved : 0));
}

void Gateway::ComposeBeat(v1::RouterBeat& beat) {
  beat.set_caller_address(m_settings.caller_address);
  beat.set_load_address(m_settings.load_address);
  beat.set_failure_domain(m_settings.failure_domain.value());
  // Ready as soon as this very beat is back: it brings the first ceilings.
  beat.set_ready(m_in_force && KnowsUpstreams() && !m_leaving_since);
  beat.set_upstreams(
      m_upstreams_known ? static_cast<uint32_t>(m_directory.size()) : 0);
  beat.set_leaving(m_leaving_since.has_value());
  beat.set_closing(m_closing_since.has_value());
  const core::TimePoint now = net::BootNow();
  beat.set_capacity(Capacity());
  beat.set_load(m_arrivals.PerSecond(now));
  entry::ClaimContext context;
  context.routers = m_members.Active();
  context.standbys =
      m_members.Live() - std::min(m_members.Live(), context.routers);
  // After a loss of all power every router starts, and what it was before is
  // in the records. Claiming as if it served, each that stands by would take a
  // part from those that do, until its second claim. The first router of a
  // fleet finds nobody.
  const bool alone = !m_first_beat_back && m_members.Live() <= 1;
  context.active = m_members.SelfActive() || alone;
  context.leaving = beat.leaving();
  context.closing = beat.closing();
  context.period = entry::BeatPeriod(Limits());
  VouchForReserves(beat, now);
  m_crashes.record().AddReportsTo(beat, now);
  m_book.WriteClaims(beat, context, now);
  TellHold();
}

void Gateway::TellHold() {
  if (std::abs(m_book.HoldFactor() - m_hold_told) < kHoldChange) {
    return;
  }
  m_hold_told = m_book.HoldFactor();
  const entry::LivedThrough past = m_book.Past();
  Lifecycle(LogLine("held_ahead")
                .Number("per_thousand", PerThousand(m_hold_told))
                .Number("losses_per_thousand", PerThousand(past.losses))
                .Number("outages_per_thousand", PerThousand(past.outages)));
}

// Only a router that has the VM's port to itself can be told dead by its
// successor. Where beats come more seldom, the time is longer by as much.
void Gateway::VouchForReserves(v1::RouterBeat& beat,
                               core::TimePoint now) const {
  if (!m_alone_since || m_boot.empty() ||
      m_policy.book.held_back == core::Duration::zero()) {
    return;
  }
  const core::TimePoint not_before = now + m_policy.book.held_back +
                                     entry::BeatPeriod(Limits()) -
                                     entry::kQuietBeatPeriod;
  beat.set_boot(m_boot);
  beat.set_written_at(now.time_since_epoch().count());
  beat.set_not_before(not_before.time_since_epoch().count());
}

// Estimates from the size of the VM: what a request costs is much the same
// everywhere, and the rates leave most of the VM free for bursts.
double Gateway::Capacity() const {
  const double by_processor =
      m_settings.processor_cores > 0
          ? m_settings.processor_cores * kRequestsPerCore
          : kUnsaidCapacity;
  const double by_link =
      m_settings.link_megabits_per_second > 0
          ? m_settings.link_megabits_per_second * kRequestsPerMegabit
          : kUnsaidCapacity;
  return std::min(by_processor, by_link);
}

void Gateway::GrantsChanged() {
  // Those that are still short wait again, in a new list.
  const std::vector<std::function<void()>> waiting =
      std::exchange(m_waiting, {});
  for (const auto& on_grant : waiting) {
    on_grant();
  }
}

}  // namespace coppervalve::gateway
