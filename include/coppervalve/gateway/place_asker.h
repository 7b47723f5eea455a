#ifndef COPPERVALVE_GATEWAY_PLACE_ASKER_H_
#define COPPERVALVE_GATEWAY_PLACE_ASKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>        // size_t
#include <cstdint>        // uint64_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/entry/placement.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::gateway {

/// @brief Asks routers that follow the table of upstreams where a request goes.
///
/// A router that stands by in a large fleet does not follow the table, and what
/// it read before may name upstreams that left. An answer is as new as the
/// table of the router that gives it.
class PlaceAsker {
 public:
  struct Hooks {
    /// Addresses of routers that callers are led to, this one left out.
    std::function<std::vector<std::string>()> peers;
    std::function<void(const std::string& address, const v1::PlaceAsk&)> send;
  };
  /// @param placement without an upstream when nobody told of one
  using OnTold = std::function<void(const entry::Placement& placement)>;

  PlaceAsker(boost::asio::io_context& io,
             std::string reply_address,
             Hooks hooks,
             routing::RandomSource random);
  void SetEpoch(uint64_t epoch) { m_epoch = epoch; }

  /// @param on_told called once, never from within
  void Ask(const entry::PlacementQuery& query, OnTold on_told);
  void OnAnswer(const v1::PlaceAnswer& answer);

 private:
  struct Pending {
    v1::PlaceAsk ask;
    std::vector<std::string> peers;
    size_t tries = 0;
    OnTold on_told;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  void Next(uint64_t id);
  void End(uint64_t id, const entry::Placement& placement);

  boost::asio::io_context& m_io;
  std::string m_reply_address;
  Hooks m_hooks;
  routing::RandomSource m_random;
  uint64_t m_epoch = 0;
  uint64_t m_last_id = 0;
  std::unordered_map<uint64_t, Pending> m_pending;
};

/// @brief What is asked, put into a message and taken out of it.
v1::PlaceAsk AskFor(const entry::PlacementQuery& query);
entry::PlacementQuery QueryOf(const v1::PlaceAsk& ask);
/// @brief What is answered.
v1::PlaceAnswer AnswerTo(const v1::PlaceAsk& ask,
                         const entry::Placement& placement);

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_PLACE_ASKER_H_
