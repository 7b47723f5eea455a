#include "coppervalve/gateway/stream_record_reader.h"

#include <utility>  // exchange, move

#include "coppervalve/gateway/stream_record_writer.h"

namespace coppervalve::gateway {

namespace {

constexpr size_t kMaxBatchBytes = 262'144;
constexpr core::Duration kPagePatience{1'200'000};

}  // namespace

StreamRecordReader::StreamRecordReader(const KeyedStore& store,
                                       std::string topic,
                                       Hooks hooks)
    : m_store(store), m_topic(std::move(topic)), m_hooks(std::move(hooks)) {}

// A read that is in progress may have passed the end of the log before the
// caller's request arrived, so it can't be shared.
void StreamRecordReader::Read(OnRead on_read) {
  m_arrived.push_back(std::move(on_read));
  if (!m_reading) {
    StartRound();
  }
}

void StreamRecordReader::StartRound() {
  m_reading = true;
  m_waiting = std::exchange(m_arrived, {});
  ReadBatch();
}

void StreamRecordReader::ReadBatch() {
  m_store.read(
      m_topic, m_next, {core::Duration::zero(), kMaxBatchBytes},
      [weak = weak_from_this()](const core::Result<RecordBatch>& result) {
        if (const auto self = weak.lock()) {
          self->OnBatch(result);
        }
      });
}

void StreamRecordReader::OnBatch(const core::Result<RecordBatch>& result) {
  const bool expired =
      !core::IsOk(result) && core::Failure(result).id == core::ErrorId::kLogGap;
  m_hooks.on_call(core::IsOk(result) || expired);
  if (expired) {
    FindFirst();
    return;
  }
  if (!core::IsOk(result)) {
    FinishRound(false);
    return;
  }
  const RecordBatch& batch = core::Value(result);
  for (const KeyedRecord& record : batch.records) {
    for (const entry::StreamGroup& group : DecodeStreamRecord(record.value)) {
      m_hooks.on_record(group);
    }
  }
  m_next = batch.next;
  if (m_next < batch.end && !batch.records.empty()) {
    ReadBatch();
    return;
  }
  FinishRound(m_next >= batch.end);
}

// The store reports the first retained offset only with a read that succeeds,
// as one at the end of the log does.
void StreamRecordReader::FindFirst() {
  m_store.newest(
      m_topic, {}, kPagePatience,
      [weak = weak_from_this()](const core::Result<NewestPage>& result) {
        if (const auto self = weak.lock()) {
          self->OnEndKnown(result);
        }
      });
}

void StreamRecordReader::OnEndKnown(const core::Result<NewestPage>& result) {
  m_hooks.on_call(core::IsOk(result));
  if (!core::IsOk(result)) {
    FinishRound(false);
    return;
  }
  m_store.read(
      m_topic, core::Value(result).end, {core::Duration::zero(), 1},
      [weak = weak_from_this()](const core::Result<RecordBatch>& batch) {
        if (const auto self = weak.lock()) {
          self->OnFirstKnown(batch);
        }
      });
}

void StreamRecordReader::OnFirstKnown(const core::Result<RecordBatch>& result) {
  m_hooks.on_call(core::IsOk(result));
  if (!core::IsOk(result)) {
    FinishRound(false);
    return;
  }
  m_next = core::Value(result).first;
  ReadBatch();
}

void StreamRecordReader::FinishRound(bool complete) {
  m_reading = false;
  for (const OnRead& on_read : std::exchange(m_waiting, {})) {
    on_read(complete);
  }
  if (!m_arrived.empty() && !m_reading) {
    StartRound();
  }
}

}  // namespace coppervalve::gateway
