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

/// @brief One record of a topic in which the newest of each key stays.
struct KeyedRecord {
  std::string key;
  std::string value;  ///< empty: the key was dropped
  uint64_t offset = 0;
};

/// @brief A page of the newest records of each key. Pages are not a snapshot:
/// records from `end` on may be in them already.
struct NewestPage {
  std::vector<KeyedRecord> records;
  uint64_t end = 0;   ///< of the log, when the page was made
  std::string after;  ///< key to go on after; empty = this was the last page
};

/// @brief Records in the order of their offsets.
struct RecordBatch {
  std::vector<KeyedRecord> records;
  uint64_t next = 0;  ///< offset behind them
  uint64_t end = 0;   ///< of the log, when the batch was made
};

/// @brief Bounds of one read.
struct ReadBounds {
  core::Duration wait{};  ///< for the first record
  size_t most_bytes = 0;
};

/// @brief Lets the store do a repeat only once, and nothing of an old writer.
struct WriterPosition {
  std::string writer;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
};

/// @brief Where a write went.
struct WriteReceipt {
  uint64_t end = 0;  ///< offset behind the last record
};

/// @brief The durable store, as the product uses it. Calls never block, and
/// each handler is called once.
///
/// Errors: kLogUnavailable (it may have been done, or may be done later),
/// kLogGap (what was asked for is no longer kept), kRetiredInLog (a newer
/// epoch of the writer exists), kLogRecordInvalid (refused as it is).
struct KeyedStore {
  template <typename T>
  using Handler = std::function<void(const core::Result<T>&)>;

  /// @param after key of the page before; empty = from the first
  std::function<void(const std::string& topic,
                     const std::string& after,
                     Handler<NewestPage>)>
      newest;
  std::function<void(const std::string& topic,
                     uint64_t from,
                     const ReadBounds& bounds,
                     Handler<RecordBatch>)>
      read;
  /// Appends one record; an empty key only announces the epoch.
  std::function<void(const std::string& topic,
                     const KeyedRecord& record,
                     const WriterPosition& position,
                     Handler<WriteReceipt>)>
      append;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_KEYED_STORE_H_
