#include "coppervalve/logclient/writer.h"

#include <utility>  // move

namespace coppervalve::logclient {

Writer::Writer(std::string writer,
               core::Incarnation incarnation,
               WriterOptions options,
               JitterHook jitter)
    : m_writer(std::move(writer)),
      m_incarnation(incarnation),
      m_options(options),
      m_backoff(options.backoff, std::move(jitter)),
      m_rate(options.appends_per_second, options.append_burst) {}

core::Status Writer::Add(v1::Record record, Urgency urgency) {
  const core::Bytes size(static_cast<int64_t>(record.ByteSizeLong()));
  const bool too_many = backlog_records() >= m_options.max_backlog_records;
  const bool too_large = backlog_bytes() + size > m_options.max_backlog_bytes;
  // Requests may keep arriving during a long outage of the log. An unbounded
  // queue would exhaust memory and lose all unreported records when the router
  // crashes, and dropping the oldest would lose them too. Rejecting the new
  // record lets the caller refuse the corresponding work.
  if (too_many || too_large) {
    return core::Error{core::ErrorId::kBacklogFull, m_writer,
                       too_many ? "records" : "bytes"};
  }
  m_queue.push_back({std::move(record), size, urgency});
  m_queued_bytes += size;
  if (urgency == Urgency::kUrgent) {
    ++m_urgent_records;
  }
  return core::Ok();
}

std::optional<std::string> Writer::NextAppend(core::TimePoint now,
                                              core::LogOffset seen_offset) {
  if (m_in_flight || (m_retry_at && now < *m_retry_at)) {
    return std::nullopt;
  }
  if (!m_outstanding && !IsDue(now)) {
    return std::nullopt;
  }
  // The log accepts several hundred appends per second from the whole fleet.
  // Urgent records and retries bypass the batch interval, so the rate limit
  // applies to them as well.
  if (!m_rate.TryTake(now)) {
    return std::nullopt;
  }
  if (!m_outstanding) {
    m_outstanding = BuildEntry(now, seen_offset);
  }
  m_in_flight = true;
  m_retry_at.reset();
  ++m_sends;
  m_bytes_sent +=
      core::Bytes(static_cast<int64_t>(m_outstanding->bytes.size()));
  return m_outstanding->bytes;
}

void Writer::OnAppended(core::TimePoint /*now*/, core::LogOffset offset) {
  if (!m_in_flight) {
    return;
  }
  m_in_flight = false;
  m_last_offset = offset;
  ConfirmOutstanding();
}

void Writer::OnFailed(core::TimePoint now) {
  if (!m_in_flight) {
    return;
  }
  m_in_flight = false;
  // A failed append may have taken effect with only its reply lost. Sending its
  // records under a new sequence could fold them twice (e.g. take a grant
  // twice), and dropping them could lose them. The retry sends the same bytes,
  // and the fold ignores a sequence that it has already seen.
  m_retry_at = now + m_backoff.NextDelay();
}

void Writer::OnSequenceFolded(core::Sequence sequence) {
  if (!m_outstanding || sequence < m_outstanding->sequence) {
    return;
  }
  // A retry may still be in flight. m_in_flight stays set until its outcome is
  // reported, so that the report is not attributed to a newer entry.
  ConfirmOutstanding();
}

size_t Writer::backlog_records() const {
  return m_queue.size() + (m_outstanding ? m_outstanding->records : 0);
}

core::Bytes Writer::backlog_bytes() const {
  return m_queued_bytes +
         (m_outstanding ? m_outstanding->record_bytes : core::Bytes());
}

core::Duration Writer::OutstandingAge(core::TimePoint now) const {
  return m_outstanding ? now - m_outstanding->first_sent : core::Duration();
}

bool Writer::LogIsUnavailable(core::TimePoint now) const {
  return m_outstanding && OutstandingAge(now) >= m_options.outage_after;
}

bool Writer::IsDue(core::TimePoint now) const {
  if (m_urgent_records > 0) {
    return true;
  }
  if (!m_last_new_entry) {
    // No keep-alive before the first record: the join must be the first entry
    // of this incarnation in the log.
    return !m_queue.empty();
  }
  const core::Duration quiet = now - *m_last_new_entry;
  return quiet >= (m_queue.empty() ? m_options.keep_alive_interval
                                   : m_options.batch_interval);
}

Writer::Outstanding Writer::BuildEntry(core::TimePoint now,
                                       core::LogOffset seen_offset) {
  m_last_sequence = core::Sequence(m_last_sequence.value() + 1);
  m_last_new_entry = now;

  v1::Entry entry;
  entry.set_writer(m_writer);
  entry.set_incarnation(m_incarnation.value());
  entry.set_sequence(m_last_sequence.value());
  entry.set_seen_offset(seen_offset.value());

  Outstanding built;
  built.sequence = m_last_sequence;
  built.first_sent = now;
  while (!m_queue.empty() && built.records < m_options.max_entry_records) {
    QueuedRecord& next = m_queue.front();
    const bool fits =
        built.record_bytes + next.size <= m_options.max_entry_bytes;
    if (!fits && built.records > 0) {
      break;
    }
    *entry.add_records() = std::move(next.record);
    ++built.records;
    built.record_bytes += next.size;
    m_queued_bytes -= next.size;
    if (next.urgency == Urgency::kUrgent) {
      --m_urgent_records;
    }
    m_queue.pop_front();
  }
  built.bytes = entry.SerializeAsString();
  return built;
}

void Writer::ConfirmOutstanding() {
  m_backoff.Reset();
  m_retry_at.reset();
  if (!m_outstanding) {
    return;
  }
  m_confirmed_sequence = m_outstanding->sequence;
  m_outstanding.reset();
}

}  // namespace coppervalve::logclient
