#ifndef COPPERVALVE_GATEWAY_TOPIC_FOLLOWER_H_
#define COPPERVALVE_GATEWAY_TOPIC_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>      // uint64_t
#include <functional>   // function
#include <memory>       // enable_shared_from_this
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/entry/read_plan.h"
#include "coppervalve/entry/topic_age.h"
#include "coppervalve/gateway/keyed_store.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::gateway {

/// @brief Options for following one topic.
struct FollowerOptions {
  std::string topic;
  entry::ReadPlanOptions plan;
  core::Duration wait{1'000'000};
};

/// @brief A call to the store.
struct StoreCall {
  std::string_view kind;  ///< "page", "records" or "end"
  core::TimePoint began;
};

/// @brief Reads a topic continuously: first the newest record of each key, then
/// new records as they are appended.
///
/// Starts over with the newest records when the store no longer retains the
/// next offset, or when that is cheaper than reading what was missed.
class TopicFollower : public std::enable_shared_from_this<TopicFollower> {
 public:
  struct Hooks {
    std::function<void(const std::vector<KeyedRecord>&)> on_newest;
    /// A page of the newest records was read; `listed` counts those of all
    /// pages so far. Optional.
    std::function<void(size_t listed)> on_page;
    std::function<void(const KeyedRecord&)> on_record;
    /// Records were read.
    std::function<void(const entry::ReadProgress&)> on_read;
    /// The end of the log was read, and no records.
    std::function<void(const entry::ReadProgress&)> on_end;
    std::function<void(const core::Error&, const StoreCall& failed)> on_failure;
    /// The pause to make instead of the usual one; optional.
    std::function<core::Duration(core::Duration usual)> pause;
    /// The time over which reads of records of this size are to be spread;
    /// unset = they are not.
    std::function<core::Duration(size_t bytes)> spread;
    /// Whether so many routers read that the store may be late; unset = no.
    std::function<bool()> crowded;
    /// Whether the topic is needed at present, checked after each call; unset =
    /// always.
    std::function<bool()> needed;
    /// Reading stopped because the topic is not needed; the data read so far
    /// becomes stale.
    std::function<void()> on_stopped;
  };

  TopicFollower(boost::asio::io_context& io,
                FollowerOptions options,
                const KeyedStore& store,
                routing::RandomSource random,
                Hooks hooks);
  void Start();
  /// @brief Starts over with the newest records, if reading has stopped and the
  /// topic is needed again.
  void Resume();
  /// @brief Ends reading for good: no hook is called any more.
  void Close();
  /// @brief Ends the current pause early, because something relevant was just
  /// written.
  void Expedite();
  /// @brief The call in progress, or the last one.
  const StoreCall& call() const { return m_call; }
  /// @return how long the call in progress has taken; 0 without one
  core::Duration CallTime(core::TimePoint now) const;

 private:
  void BeginCall(std::string_view kind);
  void ReadNewest();
  void ReadPage();
  void OnPage(const core::Result<NewestPage>& result);
  void ReadBatch();
  void Peek();
  void OnPeek(const core::Result<NewestPage>& result);
  void OnBatch(const core::Result<RecordBatch>& result);
  /// @return a time before the store's answer
  core::TimePoint AnsweredAfter(const RecordBatch& batch) const;
  void Deliver(const std::vector<KeyedRecord>& records);
  void HandleFailure(const core::Error& error);
  void NoteRecords(const std::vector<KeyedRecord>& records);
  void UpdateSpread();
  bool StopIfNotNeeded();
  void ScheduleStep(const entry::ReadStep& step);
  void RunAfter(core::Duration delay, void (TopicFollower::*step)());

  FollowerOptions m_options;
  const KeyedStore& m_store;
  routing::RandomSource m_random;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  entry::ReadPlan m_plan;
  std::vector<KeyedRecord> m_newest;  ///< records of the pages read so far
  /// End of the log when the first page was read.
  entry::ReadProgress m_listed_to;
  std::string m_after;
  StoreCall m_call;
  bool m_calling = false;
  core::Duration m_patience{};  ///< of the current call
  size_t m_largest = 0;         ///< size of the largest record read
  bool m_pausing_between_reads = false;
  bool m_stopped = false;
  bool m_closed = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_TOPIC_FOLLOWER_H_
