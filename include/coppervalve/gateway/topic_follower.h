#ifndef COPPERVALVE_GATEWAY_TOPIC_FOLLOWER_H_
#define COPPERVALVE_GATEWAY_TOPIC_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/entry/read_plan.h"
#include "coppervalve/gateway/keyed_store.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::gateway {

/// @brief How one topic is followed.
struct FollowerOptions {
  std::string topic;
  entry::ReadPlanOptions plan;
  core::Duration wait{1'000'000};
};

/// @brief Reads a topic for good: first the newest of each key, then what
/// comes. Starts over from the newest when the store kept too little, or when
/// that costs less than what was missed.
class TopicFollower : public std::enable_shared_from_this<TopicFollower> {
 public:
  struct Hooks {
    std::function<void(const std::vector<KeyedRecord>&)> on_newest;
    std::function<void(const KeyedRecord&)> on_record;
    /// A batch was handed on; all records before `next` are known.
    std::function<void(uint64_t next)> on_read;
    /// @param began when the call that failed was made
    std::function<void(const core::Error&, core::TimePoint began)> on_failure;
    /// The pause to make, where it is not always the usual one.
    std::function<core::Duration(core::Duration usual)> pause;
    /// Whether the topic is of use now; none: always. Asked after each call.
    std::function<bool()> wanted;
    /// It was not, and reading stopped: what was read grows old.
    std::function<void()> on_stopped;
  };

  TopicFollower(boost::asio::io_context& io,
                FollowerOptions options,
                const KeyedStore& store,
                routing::RandomSource random,
                Hooks hooks);
  void Start() { Take(m_plan.OnGap()); }
  /// @brief Reads again from the newest, if reading stopped and the topic is of
  /// use now.
  void Wake();
  /// @brief Cuts the pause after a read short: something that matters was
  /// just written.
  void Hurry();

 private:
  void ReadNewest();
  void ReadPage();
  void OnPage(const core::Result<NewestPage>& result);
  void ReadOn();
  void OnBatch(const core::Result<RecordBatch>& result);
  void HandOn(const std::vector<KeyedRecord>& records);
  void Fail(const core::Error& error);
  void Take(const entry::ReadStep& step);
  void After(core::Duration delay, void (TopicFollower::*step)());

  FollowerOptions m_options;
  const KeyedStore& m_store;
  routing::RandomSource m_random;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  entry::ReadPlan m_plan;
  std::vector<KeyedRecord> m_newest;  ///< of the pages read so far
  uint64_t m_end = 0;                 ///< of the log, at the first of them
  std::string m_after;
  core::TimePoint m_began;
  bool m_pausing = false;
  bool m_stopped = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_TOPIC_FOLLOWER_H_
