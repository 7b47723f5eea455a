#ifndef COPPERVALVE_GATEWAY_KEYED_STORE_H_
#define COPPERVALVE_GATEWAY_KEYED_STORE_H_

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/result.h"
#include "coppervalve/core/units.h"

namespace coppervalve::gateway {

/// @brief A record of a compacted topic, which retains the newest record of
/// each key.
struct KeyedRecord {
  std::string key;
  std::string value;  ///< empty: the key was deleted
  uint64_t offset = 0;
};

/// @brief A page of the newest records of all keys. Pages are not a snapshot:
/// they may already contain records from `end` on.
struct NewestPage {
  std::vector<KeyedRecord> records;
  uint64_t end = 0;   ///< end of the log when the page was created
  std::string after;  ///< last key of this page; empty = no more pages
};

/// @brief Follows all keys: a page after it has the end of the log and no
/// records.
inline constexpr const char* kAfterAllKeys = "\x7f";

/// @brief Consecutive records, ordered by offset.
struct RecordBatch {
  std::vector<KeyedRecord> records;
  uint64_t next = 0;   ///< offset after the last record
  uint64_t end = 0;    ///< end of the log when the batch was created
  uint64_t first = 0;  ///< first retained offset at that time
};

/// @brief Limits of one read.
struct ReadBounds {
  core::Duration wait{};  ///< maximum time to wait for the first record
  size_t most_bytes = 0;
  /// Maximum time to wait for the answer to begin, beyond `wait`.
  core::Duration patience{800'000};
};

/// @brief Identifies a write, so that the store applies a retry only once and
/// rejects writes of superseded writers. Without a writer, each call appends a
/// record.
struct WriterPosition {
  std::string writer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
};

/// @brief Result of a successful write.
struct WriteReceipt {
  uint64_t end = 0;  ///< offset after the last record
};

/// @brief Interface of the durable store. Calls never block, and each handler
/// is called exactly once.
///
/// Errors: kLogUnavailable (the call may have been executed or may still be),
/// kLogGap (the requested records are no longer retained), kRetiredInLog (a
/// newer epoch of the writer exists), kLogRecordInvalid (the record does not
/// follow the writer's last one), kLogRecordRefused (the store never takes this
/// record, for example because of its size; nothing was written).
struct KeyedStore {
  template <typename T>
  using Handler = std::function<void(const core::Result<T>&)>;

  /// @param after last key of the previous page; empty = first page
  /// @param patience maximum time to wait for the answer to begin
  std::function<void(const std::string& topic,
                     const std::string& after,
                     core::Duration patience,
                     Handler<NewestPage>)>
      newest;
  std::function<void(const std::string& topic,
                     uint64_t from,
                     const ReadBounds& bounds,
                     Handler<RecordBatch>)>
      read;
  /// Reads the offset after all records that were written before the call. Not
  /// delayed by a read of the topic that waits for records.
  std::function<void(const std::string& topic,
                     core::Duration patience,
                     Handler<uint64_t>)>
      end;
  /// Appends one record; a record with an empty key only announces the epoch.
  /// @param timeout time to wait for the reply
  std::function<void(const std::string& topic,
                     const KeyedRecord& record,
                     const WriterPosition& position,
                     core::Duration timeout,
                     Handler<WriteReceipt>)>
      append;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_KEYED_STORE_H_
