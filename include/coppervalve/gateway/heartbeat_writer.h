#ifndef COPPERVALVE_GATEWAY_HEARTBEAT_WRITER_H_
#define COPPERVALVE_GATEWAY_HEARTBEAT_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <memory>      // enable_shared_from_this
#include <string>      // string

#include "coppervalve/beat.pb.h"
#include "coppervalve/entry/store_contact.h"
#include "coppervalve/entry/write_pacing.h"
#include "coppervalve/gateway/keyed_store.h"
#include "coppervalve/routing/random_source.h"

namespace coppervalve::gateway {

/// @brief Epochs that the store assigns are greater. Smaller ones are from
/// releases that counted the starts of each router.
inline constexpr uint64_t kEpochBase = uint64_t{1} << 32;

/// @brief Options of the writer.
struct HeartbeatOptions {
  std::string topic;
  std::string router;       ///< key of the record and id of the writer
  std::string start_topic;  ///< log whose offsets number the starts
  entry::WritePacingOptions pacing;
};

/// @brief Writes this router's heartbeats to the store, one at a time and in
/// order.
///
/// A write without a reply may still take effect. It is retried unchanged until
/// it is written or refused for good; otherwise a newer heartbeat could be
/// overwritten by the late one. The store recognizes a retry by its sequence
/// number. Each start obtains an epoch of its own from the store and announces
/// it before the first heartbeat, which fences off writes of earlier starts.
class HeartbeatWriter : public std::enable_shared_from_this<HeartbeatWriter> {
 public:
  struct Hooks {
    /// Fills in the current state of the router.
    std::function<void(v1::RouterBeat& beat)> compose;
    /// Regular time between heartbeats.
    std::function<core::Duration()> period;
    /// Minimum delay before an expedited heartbeat.
    std::function<core::Duration()> expedited_delay;
    /// Upper end of a random delay before writes that all routers make at once.
    std::function<core::Duration()> max_spread_delay;
    /// Whether callers depend on the heartbeats of this router.
    std::function<bool()> urgent;
    /// The epoch is announced: earlier starts cannot write at or after `end`.
    std::function<void(uint64_t epoch, uint64_t end)> on_epoch_announced;
    std::function<void(const v1::RouterBeat& beat)> on_written;
    /// Contact with the store.
    std::function<const entry::StoreContact&()> contact;
    /// @param began start time of the failed call
    std::function<void(const core::Error&, core::TimePoint began)> on_failure;
    /// The store never takes this heartbeat; another one is composed instead.
    std::function<void(const v1::RouterBeat& beat)> on_refused;
    /// A newer start of the same router exists; this one stops writing.
    std::function<void()> on_superseded;
  };

  HeartbeatWriter(boost::asio::io_context& io,
                  HeartbeatOptions options,
                  const KeyedStore& store,
                  routing::RandomSource random,
                  Hooks hooks);

  /// @param last_epoch epoch of this router's newest record; 0 when it has none
  /// @param expected_delay of the first write, if all routers write at once
  void Start(uint64_t last_epoch, core::Duration expected_delay);
  /// @brief Starts writing heartbeats, once all earlier records have been read.
  void StartHeartbeats();
  /// @brief Writes the next heartbeat early.
  void Expedite();
  /// @brief Writes the next heartbeat early, but not at the same moment as all
  /// other routers. A failed write is repeated without further backoff.
  void ExpediteSpread();
  bool started() const { return m_started; }
  /// Identifies this start; 0 until the store has assigned it.
  uint64_t epoch() const { return m_epoch; }

 private:
  void ObtainEpoch();
  void AnnounceEpoch();
  void WriteNext();
  void Append();
  void Retry(const core::Error& error, void (HeartbeatWriter::*step)());
  core::Duration SpreadDelay();
  void OnAppended(const core::Result<WriteReceipt>& result);
  void Schedule(core::Duration delay, void (HeartbeatWriter::*step)());

  HeartbeatOptions m_options;
  const KeyedStore& m_store;
  routing::RandomSource m_random;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  v1::RouterBeat m_beat;
  entry::WritePacing m_pacing;
  core::TimePoint m_call_started{};
  uint64_t m_last_epoch = 0;
  uint64_t m_epoch = 0;
  uint64_t m_sequence = 0;
  bool m_started = false;
  bool m_heartbeats_started = false;
  bool m_in_flight = false;
  /// The failed step while it waits to be repeated; otherwise null.
  void (HeartbeatWriter::*m_retry)() = nullptr;
  bool m_expedited = false;
  bool m_stopped = false;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_HEARTBEAT_WRITER_H_
