#ifndef COPPERVALVE_GATEWAY_BEAT_WRITER_H_
#define COPPERVALVE_GATEWAY_BEAT_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <string>      // string

#include "coppervalve/beat.pb.h"
#include "coppervalve/gateway/keyed_store.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::gateway {

/// @brief Constants of the writer.
struct BeatOptions {
  std::string topic;
  std::string router;  ///< key of the record and name of the writer
  core::Duration retry{150'000};
};

/// @brief Writes this router's beats, one at a time and in order.
///
/// A write without an answer is repeated as it is until it is answered, since
/// it may still be done: a newer one that overtook it could be replaced by it
/// in the log. The store recognises the repeat by its sequence. The epoch is
/// announced before the first beat and shuts out writes of earlier starts.
class BeatWriter : public std::enable_shared_from_this<BeatWriter> {
 public:
  struct Hooks {
    /// Fills in what the router states now.
    std::function<void(v1::RouterBeat& beat)> compose;
    /// Time between beats that nothing hurries.
    std::function<core::Duration()> period;
    /// Least time before a beat that is hurried.
    std::function<core::Duration()> hurried_gap;
    /// The epoch is announced: no earlier start can write past `end`.
    std::function<void(uint64_t epoch, uint64_t end)> on_fenced;
    std::function<void(const v1::RouterBeat& beat)> on_written;
    std::function<void(const core::Error&)> on_failure;
    /// A newer start of the same router exists: nothing is written any more.
    std::function<void()> on_retired;
  };

  BeatWriter(boost::asio::io_context& io,
             BeatOptions options,
             const KeyedStore& store,
             routing::RandomSource random,
             Hooks hooks);

  /// @param last_epoch of this router's newest record; 0 when it has none
  void Start(uint64_t last_epoch);
  /// @brief Everything before the first beat is known: beats may go out.
  void BeginBeats();
  /// @brief Writes a beat soon instead of at its turn.
  void Hurry();
  uint64_t epoch() const { return m_epoch; }

 private:
  void Announce();
  void Compose();
  void Append();
  void OnAppended(const core::Result<WriteReceipt>& result);
  void Schedule(core::Duration delay, void (BeatWriter::*step)());

  BeatOptions m_options;
  const KeyedStore& m_store;
  routing::RandomSource m_random;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  v1::RouterBeat m_beat;
  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0;
  bool m_begun = false;
  bool m_in_flight = false;
  bool m_hurried = false;
  bool m_stopped = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_BEAT_WRITER_H_
