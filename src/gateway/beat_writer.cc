#include "coppervalve/gateway/beat_writer.h"

#include <utility>  // move

namespace coppervalve::gateway {

BeatWriter::BeatWriter(boost::asio::io_context& io,
                       BeatOptions options,
                       const KeyedStore& store,
                       routing::RandomSource random,
                       Hooks hooks)
    : m_options(std::move(options)),
      m_store(store),
      m_random(std::move(random)),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

void BeatWriter::Start(uint64_t last_epoch) {
  m_epoch = last_epoch + 1;
  Announce();
}

void BeatWriter::Announce() {
  m_store.append(
      m_options.topic, KeyedRecord{}, {m_options.router, m_epoch, 0},
      [self = shared_from_this()](const core::Result<WriteReceipt>& result) {
        if (self->m_stopped) {
          return;
        }
        if (core::IsOk(result)) {
          self->m_hooks.on_fenced(self->m_epoch, core::Value(result).end);
          return;
        }
        const core::Error& error = core::Failure(result);
        if (error.id == core::ErrorId::kRetiredInLog) {
          // A start before this one announced itself and wrote nothing.
          ++self->m_epoch;
        }
        self->m_hooks.on_failure(error);
        self->Schedule(self->m_options.retry, &BeatWriter::Announce);
      });
}

void BeatWriter::BeginBeats() {
  if (m_begun) {
    return;
  }
  m_begun = true;
  Compose();
}

void BeatWriter::Hurry() {
  if (!m_begun || m_hurried || m_stopped) {
    return;
  }
  m_hurried = true;
  if (!m_in_flight) {
    Schedule(m_hooks.hurried_gap(), &BeatWriter::Compose);
  }
}

void BeatWriter::Compose() {
  m_hurried = false;
  m_in_flight = true;
  ++m_sequence;
  m_beat = v1::RouterBeat();
  m_beat.set_epoch(m_epoch);
  m_beat.set_sequence(m_sequence);
  m_hooks.compose(m_beat);
  Append();
}

void BeatWriter::Append() {
  m_store.append(
      m_options.topic, {m_options.router, m_beat.SerializeAsString(), 0},
      {m_options.router, m_epoch, m_sequence},
      [self = shared_from_this()](const core::Result<WriteReceipt>& result) {
        self->OnAppended(result);
      });
}

void BeatWriter::OnAppended(const core::Result<WriteReceipt>& result) {
  if (m_stopped) {
    return;
  }
  if (core::IsOk(result)) {
    m_in_flight = false;
    m_hooks.on_written(m_beat);
    const core::Duration period = m_hooks.period();
    const core::Duration spread =
        routing::UniformDuration(m_random, period / 8);
    Schedule(m_hurried ? m_hooks.hurried_gap() : period + spread,
             &BeatWriter::Compose);
    return;
  }
  const core::Error& error = core::Failure(result);
  if (error.id == core::ErrorId::kRetiredInLog) {
    m_stopped = true;
    m_hooks.on_retired();
    return;
  }
  m_hooks.on_failure(error);
  // What it states is old by the time it gets through: the next one follows
  // at once.
  m_hurried = true;
  Schedule(
      m_options.retry + routing::UniformDuration(m_random, m_options.retry * 2),
      &BeatWriter::Append);
}

void BeatWriter::Schedule(core::Duration delay, void (BeatWriter::*step)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait(
      [self = shared_from_this(), step](const boost::system::error_code& code) {
        if (!code && !self->m_stopped) {
          (self.get()->*step)();
        }
      });
}

}  // namespace coppervalve::gateway
