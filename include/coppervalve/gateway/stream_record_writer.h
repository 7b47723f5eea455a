#ifndef COPPERVALVE_GATEWAY_STREAM_RECORD_WRITER_H_
#define COPPERVALVE_GATEWAY_STREAM_RECORD_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // shared_ptr, enable_shared_from_this
#include <string>      // string

#include "coppervalve/entry/stream_versions.h"
#include "coppervalve/gateway/keyed_store.h"

namespace coppervalve::gateway {

/// @brief Writes the starts of this router's streams to the store, several in a
/// record. A write without a reply is repeated unchanged.
class StreamRecordWriter
    : public std::enable_shared_from_this<StreamRecordWriter> {
 public:
  struct Hooks {
    /// Minimum time between two records of this router.
    std::function<core::Duration()> interval;
    std::function<void(bool written)> on_call;
    /// The store never takes a record; its streams stay without one.
    std::function<void(size_t bytes)> on_refused;
  };

  /// @param topic of the records
  /// @param router key of the records and id of the writer
  StreamRecordWriter(boost::asio::io_context& io,
                     const KeyedStore& store,
                     std::string topic,
                     std::string router,
                     entry::StreamVersions& versions,
                     Hooks hooks);

  /// @brief Starts writing.
  /// @param epoch greater than those of earlier starts of the router
  void Start(uint64_t epoch);
  /// @brief Writes the unwritten starts soon.
  void Schedule();

 private:
  void WriteNext();
  void Append();
  void OnAppended(const core::Result<WriteReceipt>& result);
  void After(core::Duration delay, void (StreamRecordWriter::*step)());

  const KeyedStore& m_store;
  std::string m_topic;
  std::string m_router;
  entry::StreamVersions& m_versions;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  std::string m_record;  ///< the one that is being written
  uint64_t m_epoch = 0;  ///< 0: not started
  uint64_t m_sequence = 0;
  core::TimePoint m_next_write{};
  bool m_busy = false;  ///< a record is being written, or is about to be
};

/// @brief Conversions between the starts of streams and their record.
std::string EncodeStreamRecord(const std::vector<entry::StreamGroup>& groups);
/// @return the groups; empty if the record is unreadable
std::vector<entry::StreamGroup> DecodeStreamRecord(const std::string& record);

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_STREAM_RECORD_WRITER_H_
