#include "fake_store.h"

#include <algorithm>  // find_if
#include <utility>    // exchange, move

namespace coppervalve::gateway::testing {

namespace {

core::Error Unavailable() {
  return {core::ErrorId::kLogUnavailable, "store", "unavailable"};
}

}  // namespace

void FakeStore::Put(const std::string& topic,
                    const std::string& key,
                    const std::string& value) {
  Topic& kept = m_topics[topic];
  const KeyedRecord record{key, value, EndOf(kept)};
  kept.records.push_back(record);
  if (value.empty()) {
    kept.newest.erase(key);
  } else {
    kept.newest[key] = record;
  }
  WakeReaders();
}

void FakeStore::Compact(const std::string& topic) {
  Topic& kept = m_topics[topic];
  kept.first += kept.records.size();
  kept.records.clear();
}

std::string FakeStore::Newest(const std::string& topic,
                              const std::string& key) const {
  const auto found = m_topics.find(topic);
  if (found == m_topics.end() || !found->second.newest.contains(key)) {
    return {};
  }
  return found->second.newest.at(key).value;
}

size_t FakeStore::RecordsOf(const std::string& topic) const {
  const auto found = m_topics.find(topic);
  return found == m_topics.end() ? 0 : found->second.records.size();
}

void FakeStore::Read(const std::string& topic,
                     uint64_t from,
                     size_t most_bytes,
                     KeyedStore::Handler<RecordBatch> handler) {
  const Topic& kept = m_topics[topic];
  if (from < kept.first) {
    Post<RecordBatch>(std::move(handler),
                      core::Error{core::ErrorId::kLogGap, topic, "compacted"});
    return;
  }
  RecordBatch batch;
  batch.end = EndOf(kept);
  batch.first = kept.first;
  batch.next = from;
  size_t bytes = 0;
  for (uint64_t offset = from; offset < batch.end; ++offset) {
    const KeyedRecord& record = kept.records[offset - kept.first];
    bytes += record.key.size() + record.value.size();
    if (bytes > most_bytes) {
      break;
    }
    batch.records.push_back(record);
    batch.next = offset + 1;
  }
  Post<RecordBatch>(std::move(handler), batch);
}

void FakeStore::WaitForRecord(Waiting reader, core::Duration wait) {
  reader.timer = std::make_shared<boost::asio::steady_timer>(m_io, wait);
  m_waiting.push_back(reader);
  reader.timer->async_wait(
      [this, timer = reader.timer](const boost::system::error_code& code) {
        const auto found = std::find_if(
            m_waiting.begin(), m_waiting.end(),
            [&](const Waiting& one) { return one.timer == timer; });
        if (code || found == m_waiting.end()) {
          return;
        }
        const Waiting ended = std::move(*found);
        m_waiting.erase(found);
        if (Fails(ended.topic, ended.router) ||
            Swallows(ended.topic, ended.router)) {
          Post<RecordBatch>(ended.handler, Unavailable());
          return;
        }
        Read(ended.topic, ended.from, ended.most_bytes, ended.handler);
      });
}

void FakeStore::WakeReaders() {
  std::list<Waiting> waiting = std::exchange(m_waiting, {});
  for (Waiting& reader : waiting) {
    const Topic& kept = m_topics[reader.topic];
    if (reader.from == EndOf(kept) || Fails(reader.topic, reader.router) ||
        Swallows(reader.topic, reader.router)) {
      m_waiting.push_back(std::move(reader));
      continue;
    }
    Read(reader.topic, reader.from, reader.most_bytes,
         std::move(reader.handler));
  }
}

core::Result<WriteReceipt> FakeStore::Append(const std::string& topic,
                                             const KeyedRecord& record,
                                             const WriterPosition& position) {
  if (1 + record.key.size() + record.value.size() > max_record_bytes) {
    return core::Error{core::ErrorId::kLogRecordRefused, topic, "too large"};
  }
  Topic& kept = m_topics[topic];
  bool repeat = false;
  if (!position.writer.empty()) {
    WriterPosition& known = kept.writers[position.writer];
    if (position.epoch < known.epoch) {
      return core::Error{core::ErrorId::kRetiredInLog, topic, "fenced"};
    }
    repeat =
        position.epoch == known.epoch && position.sequence == known.sequence;
    known = position;
  }
  if (!repeat && !record.key.empty()) {
    Put(topic, record.key, record.value);
  }
  return WriteReceipt{EndOf(kept)};
}

void FakeStore::ApplyLate() {
  for (const auto& apply : std::exchange(m_late, {})) {
    apply();
  }
}

KeyedStore FakeStore::Calls(const std::string& router) {
  KeyedStore calls;
  calls.newest = [this, router](const std::string& topic,
                                const std::string& after,
                                core::Duration patience, auto handler) {
    ++newest_calls;
    if (Swallows(topic, router)) {
      Swallow<NewestPage>(handler, patience);
      return;
    }
    const bool unanswered = Fails(topic, router);
    if (unanswered || rejected_pages > 0) {
      rejected_pages -= unanswered ? 0 : 1;
      Post<NewestPage>(handler, Unavailable());
      return;
    }
    const Topic& kept = m_topics[topic];
    NewestPage page;
    page.end = EndOf(kept);
    for (auto found = kept.newest.upper_bound(after);
         found != kept.newest.end(); ++found) {
      if (page.records.size() == page_size) {
        page.after = page.records.back().key;
        break;
      }
      page.records.push_back(found->second);
    }
    Post<NewestPage>(handler, page);
  };
  calls.read = [this, router](const std::string& topic, uint64_t from,
                              const ReadBounds& bounds, auto handler) {
    if (Swallows(topic, router)) {
      Swallow<RecordBatch>(handler, bounds.wait + bounds.patience);
      return;
    }
    if (Fails(topic, router)) {
      Post<RecordBatch>(handler, Unavailable());
      return;
    }
    const Topic& kept = m_topics[topic];
    if (bounds.wait != core::Duration::zero() && from == EndOf(kept)) {
      WaitForRecord({router, topic, from, bounds.most_bytes, handler, nullptr},
                    bounds.wait);
      return;
    }
    Read(topic, from, bounds.most_bytes, handler);
  };
  calls.end = [this, router](const std::string& topic, core::Duration patience,
                             auto handler) {
    if (Swallows(topic, router)) {
      Swallow<uint64_t>(handler, patience);
      return;
    }
    if (Fails(topic, router)) {
      Post<uint64_t>(handler, Unavailable());
      return;
    }
    Post<uint64_t>(handler, EndOf(m_topics[topic]));
  };
  calls.append = [this](const std::string& topic, const KeyedRecord& record,
                        const WriterPosition& position, core::Duration timeout,
                        auto handler) {
    ++appends;
    if (silent) {
      Swallow<WriteReceipt>(handler, timeout);
      return;
    }
    if (unreachable) {
      Post<WriteReceipt>(handler, Unavailable());
      return;
    }
    if (is_late && is_late(topic)) {
      m_late.emplace_back([this, topic, record, position] {
        (void)Append(topic, record, position);
      });
      Swallow<WriteReceipt>(handler, timeout);
      return;
    }
    const core::Result<WriteReceipt> result = Append(topic, record, position);
    if (!core::IsOk(result)) {
      Post<WriteReceipt>(handler, result);
      return;
    }
    if (lose_replies > 0) {
      --lose_replies;
      Post<WriteReceipt>(handler, Unavailable());
      return;
    }
    Post<WriteReceipt>(handler, result);
  };
  return calls;
}

}  // namespace coppervalve::gateway::testing
