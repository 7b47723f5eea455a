#ifndef COPPERVALVE_GATEWAY_START_PROBE_H_
#define COPPERVALVE_GATEWAY_START_PROBE_H_

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

/// @brief Learns the size of the fleet from its last heartbeats, before a
/// router reads all of them.
class StartProbe : public std::enable_shared_from_this<StartProbe> {
 public:
  struct Result {
    v1::FleetFacts facts;  ///< no routers: the fleet is small, or unknown
    double heartbeats_per_second = 0;
  };
  struct Hooks {
    /// Whether the heartbeats of the fleet are to be counted for a while.
    std::function<bool(const v1::FleetFacts&)> counts;
    std::function<void(const Result&)> on_done;
  };

  StartProbe(boost::asio::io_context& io,
             const KeyedStore& store,
             std::string topic,
             routing::RandomSource random,
             Hooks hooks);
  void Start();

 private:
  void ReadEnd(void (StartProbe::*on_end)(uint64_t end));
  void RunAfter(core::Duration delay, std::function<void()> step);
  void OnFirstEnd(uint64_t end);
  void OnTail(const core::Result<RecordBatch>& result);
  void OnSecondEnd(uint64_t end);

  const KeyedStore& m_store;
  std::string m_topic;
  routing::RandomSource m_random;
  Hooks m_hooks;
  boost::asio::steady_timer m_timer;
  uint64_t m_first_end = 0;
  core::TimePoint m_counting_since;
  Result m_result;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_START_PROBE_H_
