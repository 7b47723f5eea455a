#ifndef COPPERVALVE_GATEWAY_READ_BARRIER_H_
#define COPPERVALVE_GATEWAY_READ_BARRIER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <optional>    // optional
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/gateway/keyed_store.h"

namespace coppervalve::gateway {

/// @brief Waits until a followed topic has been read as far as it was written
/// when a caller asked.
///
/// The end of the log is requested from the store, since the follower may be
/// late without knowing. Callers that ask together share a request.
class ReadBarrier : public std::enable_shared_from_this<ReadBarrier> {
 public:
  struct Hooks {
    /// Records are missing: the follower is to read them soon.
    std::function<void()> on_behind;
    std::function<void(bool answered)> on_call;
  };
  /// @param passed whether all records written before the call have been read;
  /// if not, the store or the follower did not get so far in time
  using OnDone = std::function<void(bool passed)>;

  ReadBarrier(boost::asio::io_context& io,
              const KeyedStore& store,
              std::string topic,
              Hooks hooks);

  /// @param on_done called exactly once, unless the barrier is destroyed
  /// before, and never from within this call
  void Wait(OnDone on_done);
  /// @brief The follower has read all records before an offset.
  void OnRead(uint64_t next);

 private:
  void StartRound();
  void OnEnd(const core::Result<uint64_t>& result);
  void FinishRound(bool passed);

  const KeyedStore& m_store;
  std::string m_topic;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  uint64_t m_read_to = 0;
  uint64_t m_round = 0;           ///< number of the latest one
  std::optional<uint64_t> m_end;  ///< that the round waits for
  bool m_in_round = false;
  std::vector<OnDone> m_waiting;  ///< for the round
  std::vector<OnDone> m_arrived;  ///< for the next one
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_READ_BARRIER_H_
