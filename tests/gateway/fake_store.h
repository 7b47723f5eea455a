#ifndef COPPERVALVE_TESTS_GATEWAY_FAKE_STORE_H_
#define COPPERVALVE_TESTS_GATEWAY_FAKE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>  // function
#include <list>        // list
#include <map>         // map
#include <memory>      // shared_ptr
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/gateway/keyed_store.h"

namespace coppervalve::gateway::testing {

/// @brief In-memory store that can be unavailable, lose replies or compact
/// topics.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io) : m_io(io) {}

  /// @param router whose calls they are
  KeyedStore Calls(const std::string& router = {});
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value);
  /// @brief Compacts a topic to the newest record of each key; reads at older
  /// offsets then report a gap.
  void Compact(const std::string& topic);

  /// @brief Applies the late appends, in their order, if they are still valid.
  void ApplyLate();

  bool unreachable = false;   ///< all calls fail as if timed out
  bool silent = false;        ///< calls get no answer, also not later
  std::string unreadable;     ///< topic whose reads fail as if timed out
  std::string unreadable_to;  ///< the only router whose reads fail; empty: all
  /// Whether a router's reads of a topic get no answer.
  std::function<bool(const std::string& topic, const std::string& router)>
      swallows;
  int lose_replies = 0;  ///< number of next appends to apply without reply
  /// Whether the next append gets no reply and is applied by ApplyLate().
  std::function<bool(const std::string& topic)> is_late;
  int rejected_pages = 0;  ///< number of the next pages to reject
  size_t page_size = 500;
  size_t max_record_bytes = 262'144;  ///< larger ones are refused
  int appends = 0;                    ///< number of calls
  int newest_calls = 0;               ///< number of calls
  /// Value of the newest record of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& key) const;
  size_t waiting_readers() const { return m_waiting.size(); }
  size_t RecordsOf(const std::string& topic) const;

 private:
  struct Topic {
    std::vector<KeyedRecord> records;
    uint64_t first = 0;  ///< offset of records.front()
    std::map<std::string, KeyedRecord> newest;
    std::map<std::string, WriterPosition> writers;
  };
  struct Waiting {
    std::string router;
    std::string topic;
    uint64_t from;
    size_t most_bytes;
    KeyedStore::Handler<RecordBatch> handler;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  uint64_t EndOf(const Topic& topic) const {
    return topic.first + topic.records.size();
  }
  void Read(const std::string& topic,
            uint64_t from,
            size_t most_bytes,
            KeyedStore::Handler<RecordBatch> handler);
  core::Result<WriteReceipt> Append(const std::string& topic,
                                    const KeyedRecord& record,
                                    const WriterPosition& position);
  void WaitForRecord(Waiting reader, core::Duration wait);
  void WakeReaders();
  bool Fails(const std::string& topic, const std::string& router) const {
    const bool affected = unreadable_to.empty() || unreadable_to == router;
    return unreachable || silent || (topic == unreadable && affected);
  }
  bool Swallows(const std::string& topic, const std::string& router) const {
    return silent || (swallows && swallows(topic, router));
  }
  /// @brief The call ends after its patience.
  template <typename T>
  void Swallow(KeyedStore::Handler<T> handler, core::Duration patience) {
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(m_io, patience);
    timer->async_wait([timer, handler](const boost::system::error_code&) {
      handler(core::Error{core::ErrorId::kLogUnavailable, "store", "silent"});
    });
  }
  template <typename T>
  void Post(KeyedStore::Handler<T> handler, core::Result<T> result) {
    boost::asio::post(m_io, [handler, result] { handler(result); });
  }

  boost::asio::io_context& m_io;
  std::map<std::string, Topic> m_topics;
  std::list<Waiting> m_waiting;
  std::vector<std::function<void()>> m_late;
};

}  // namespace coppervalve::gateway::testing

#endif  // COPPERVALVE_TESTS_GATEWAY_FAKE_STORE_H_
