#include "coppervalve/gateway/heartbeat_writer.h"

#include <algorithm>  // max
#include <utility>    // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

HeartbeatWriter::HeartbeatWriter(boost::asio::io_context& io,
                                 HeartbeatOptions options,
                                 const KeyedStore& store,
                                 routing::RandomSource random,
                                 Hooks hooks)
    : m_options(std::move(options)),
      m_store(store),
      m_random(std::move(random)),
      m_hooks(std::move(hooks)),
      m_timer(io),
      m_pacing(m_options.pacing) {}

void HeartbeatWriter::Start(uint64_t last_epoch,
                            core::Duration expected_delay) {
  m_started = true;
  m_last_epoch = last_epoch;
  m_pacing.Expect(expected_delay);
  ObtainEpoch();
}

// Derived from the newest heartbeat, the epoch of a start that was killed
// before its first heartbeat would be used again. The store would then take the
// heartbeats of one start for repeats of the other's, and a donor would answer
// a request for tokens with its reply to an earlier one, so that tokens are
// spent twice. The log gives each append an offset of its own, and an append
// whose reply is lost only leaves a gap. The record has no value, so the store
// retains nothing.
void HeartbeatWriter::ObtainEpoch() {
  m_retry = nullptr;
  m_call_started = net::BootNow();
  m_store.append(
      m_options.start_topic, {m_options.router, {}, 0}, WriterPosition{},
      m_pacing.Timeout(),
      [self = shared_from_this()](const core::Result<WriteReceipt>& result) {
        if (self->m_stopped) {
          return;
        }
        if (!core::IsOk(result)) {
          self->Retry(core::Failure(result), &HeartbeatWriter::ObtainEpoch);
          return;
        }
        self->m_pacing.OnWritten(net::BootNow() - self->m_call_started);
        self->m_epoch = kEpochBase + core::Value(result).end;
        if (self->m_epoch <= self->m_last_epoch) {
          self->ObtainEpoch();
          return;
        }
        self->AnnounceEpoch();
      });
}

core::Duration HeartbeatWriter::SpreadDelay() {
  return routing::UniformDuration(m_random, m_hooks.max_spread_delay());
}

void HeartbeatWriter::AnnounceEpoch() {
  m_retry = nullptr;
  m_call_started = net::BootNow();
  m_store.append(
      m_options.topic, KeyedRecord{}, {m_options.router, m_epoch, 0},
      m_pacing.Timeout(),
      [self = shared_from_this()](const core::Result<WriteReceipt>& result) {
        if (self->m_stopped) {
          return;
        }
        if (core::IsOk(result)) {
          self->m_pacing.OnWritten(net::BootNow() - self->m_call_started);
          self->m_hooks.on_epoch_announced(self->m_epoch,
                                           core::Value(result).end);
          return;
        }
        const core::Error& error = core::Failure(result);
        const bool superseded = error.id == core::ErrorId::kRetiredInLog;
        self->Retry(error, superseded ? &HeartbeatWriter::ObtainEpoch
                                      : &HeartbeatWriter::AnnounceEpoch);
      });
}

void HeartbeatWriter::Retry(const core::Error& error,
                            void (HeartbeatWriter::*step)()) {
  m_hooks.on_failure(error, m_call_started);
  const entry::StoreContact& contact = m_hooks.contact();
  m_pacing.OnFailure(net::BootNow() - m_call_started,
                     !contact.AnsweredSince(m_call_started));
  m_retry = step;
  // The reply was lost in an outage that is over.
  const bool regained = contact.reachable_since() > m_call_started;
  Schedule(regained ? SpreadDelay()
                    : m_pacing.RetryDelay(routing::UniformFraction(m_random)),
           step);
}

void HeartbeatWriter::StartHeartbeats() {
  if (m_heartbeats_started) {
    return;
  }
  m_heartbeats_started = true;
  WriteNext();
}

void HeartbeatWriter::Expedite() {
  if (!m_heartbeats_started || m_expedited || m_stopped) {
    return;
  }
  m_expedited = true;
  if (!m_in_flight) {
    Schedule(m_hooks.expedited_delay(), &HeartbeatWriter::WriteNext);
  }
}

void HeartbeatWriter::ExpediteSpread() {
  if (m_stopped) {
    return;
  }
  if (m_retry != nullptr) {
    Schedule(SpreadDelay(), m_retry);
    return;
  }
  if (!m_heartbeats_started) {
    return;
  }
  if (!m_expedited && !m_in_flight) {
    Schedule(m_hooks.expedited_delay() + SpreadDelay(),
             &HeartbeatWriter::WriteNext);
  }
  m_expedited = true;
}

void HeartbeatWriter::WriteNext() {
  m_expedited = false;
  m_in_flight = true;
  ++m_sequence;
  m_beat = v1::RouterBeat();
  m_beat.set_epoch(m_epoch);
  m_beat.set_sequence(m_sequence);
  m_hooks.compose(m_beat);
  Append();
}

void HeartbeatWriter::Append() {
  m_retry = nullptr;
  m_call_started = net::BootNow();
  m_store.append(
      m_options.topic, {m_options.router, m_beat.SerializeAsString(), 0},
      {m_options.router, m_epoch, m_sequence}, m_pacing.Timeout(),
      [self = shared_from_this()](const core::Result<WriteReceipt>& result) {
        self->OnAppended(result);
      });
}

void HeartbeatWriter::OnAppended(const core::Result<WriteReceipt>& result) {
  if (m_stopped) {
    return;
  }
  if (core::IsOk(result)) {
    m_in_flight = false;
    m_pacing.OnWritten(net::BootNow() - m_call_started);
    m_hooks.on_written(m_beat);
    const core::Duration period = m_hooks.period();
    const core::Duration spread =
        routing::UniformDuration(m_random, period / 8);
    const core::Duration delay =
        m_expedited ? m_hooks.expedited_delay() : period + spread;
    Schedule(std::max(delay, m_pacing.PauseAfterWrite(m_hooks.urgent())),
             &HeartbeatWriter::WriteNext);
    return;
  }
  const core::Error& error = core::Failure(result);
  if (error.id == core::ErrorId::kRetiredInLog) {
    m_stopped = true;
    m_hooks.on_superseded();
    return;
  }
  if (error.id == core::ErrorId::kLogRecordRefused) {
    m_hooks.on_refused(m_beat);
    --m_sequence;
    Retry(error, &HeartbeatWriter::WriteNext);
    return;
  }
  // The heartbeat is outdated by the time it is written, so the next one
  // follows immediately.
  m_expedited = true;
  Retry(error, &HeartbeatWriter::Append);
}

void HeartbeatWriter::Schedule(core::Duration delay,
                               void (HeartbeatWriter::*step)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait(
      [self = shared_from_this(), step](const boost::system::error_code& code) {
        if (!code && !self->m_stopped) {
          (self.get()->*step)();
        }
      });
}

}  // namespace coppervalve::gateway
