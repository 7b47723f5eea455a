#ifndef COPPERVALVE_GATEWAY_STREAM_RECORD_READER_H_
#define COPPERVALVE_GATEWAY_STREAM_RECORD_READER_H_

#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/entry/stream_versions.h"
#include "coppervalve/gateway/keyed_store.h"

namespace coppervalve::gateway {

/// @brief Reads the starts of streams from the store when they are needed.
///
/// Records are needed only when a caller resumes a stream that started at
/// another router, so the topic is not followed. Requests that arrive together
/// share a read.
class StreamRecordReader
    : public std::enable_shared_from_this<StreamRecordReader> {
 public:
  struct Hooks {
    std::function<void(const entry::StreamGroup&)> on_record;
    std::function<void(bool answered)> on_call;
  };
  /// @param complete whether all records written before the call were read
  using OnRead = std::function<void(bool complete)>;

  StreamRecordReader(const KeyedStore& store, std::string topic, Hooks hooks);

  /// @param on_read called exactly once, never from within this call
  void Read(OnRead on_read);

 private:
  void StartRound();
  void ReadBatch();
  void OnBatch(const core::Result<RecordBatch>& result);
  void FindFirst();
  void OnEndKnown(const core::Result<NewestPage>& result);
  void OnFirstKnown(const core::Result<RecordBatch>& result);
  void FinishRound(bool complete);

  const KeyedStore& m_store;
  std::string m_topic;
  Hooks m_hooks;
  uint64_t m_next = 0;  ///< offset of the next record to read
  bool m_reading = false;
  std::vector<OnRead> m_waiting;  ///< for the read that is in progress
  std::vector<OnRead> m_arrived;  ///< for the next one
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_STREAM_RECORD_READER_H_
