#ifndef COPPERVALVE_ROUTER_DETAIL_OUTBOX_H_
#define COPPERVALVE_ROUTER_DETAIL_OUTBOX_H_

#include <string>   // string
#include <utility>  // exchange, move, pair
#include <vector>   // vector

#include "coppervalve/core/error.h"
#include "coppervalve/router/events.h"

namespace coppervalve::router::detail {

using LogFields = std::vector<std::pair<std::string, std::string>>;

/// @brief Collects the actions of the current event.
class Outbox {
 public:
  void Add(Action action) { m_actions.push_back(std::move(action)); }
  void Info(std::string event, LogFields fields);
  void Warn(std::string event, LogFields fields);
  /// @brief Logs a failure that needs an operator.
  void Alarm(const core::Error& error);
  std::vector<Action> Take() { return std::exchange(m_actions, {}); }

 private:
  std::vector<Action> m_actions;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_OUTBOX_H_
