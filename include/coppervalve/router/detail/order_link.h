#ifndef COPPERVALVE_ROUTER_DETAIL_ORDER_LINK_H_
#define COPPERVALVE_ROUTER_DETAIL_ORDER_LINK_H_

#include <cstddef>  // size_t

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/orders/order_desk.h"
#include "coppervalve/router/detail/log_desk.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/events.h"

namespace coppervalve::router::detail {

/// @brief Connects OrderDesk to the log and to the shell.
class OrderLink {
 public:
  OrderLink(const core::RouterId& router,
            core::Incarnation incarnation,
            LogDesk& log,
            Outbox& outbox);

  /// @brief Call after entries were folded or a snapshot was loaded.
  void AfterReading(core::TimePoint now);
  void OnEffect(core::TimePoint now, const ledger::Effect& effect);
  void OnSent(core::TimePoint now, const OrderSent& event);
  /// @brief Sends and appends what is due.
  /// @pre this router is a member
  void Pump(core::TimePoint now, const orders::Permit& permit);

  /// @return the number of orders that a drain must wait for
  size_t busy() const { return m_desk.busy(); }

 private:
  void Carry(const orders::Take& command);
  void Carry(const orders::Send& command);
  void Carry(const orders::State& command);
  void Append(v1::Record record);

  core::Incarnation m_incarnation;
  LogDesk& m_log;
  Outbox& m_outbox;
  orders::OrderDesk m_desk;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_ORDER_LINK_H_
