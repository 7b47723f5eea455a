#ifndef COPPERVALVE_ROUTER_DETAIL_ORDER_ADAPTER_H_
#define COPPERVALVE_ROUTER_DETAIL_ORDER_ADAPTER_H_

#include <cstddef>  // size_t

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/effects.h"
#include "coppervalve/orders/order_manager.h"
#include "coppervalve/router/detail/log_access.h"
#include "coppervalve/router/detail/outbox.h"
#include "coppervalve/router/events.h"

namespace coppervalve::router::detail {

/// @brief Connects OrderManager to the log and to the shell.
class OrderAdapter {
 public:
  OrderAdapter(const core::RouterId& router,
               core::Incarnation incarnation,
               LogAccess& log,
               Outbox& outbox);

  /// @brief Call after entries were folded or a snapshot was loaded.
  void AfterReading(core::TimePoint now);
  void OnEffect(core::TimePoint now, const ledger::Effect& effect);
  void OnSent(core::TimePoint now, const OrderSent& event);
  /// @brief Sends and appends what is due. @pre this router is a member
  void Pump(core::TimePoint now, const orders::Permit& permit);

  /// @return the number of orders that a drain must wait for
  size_t busy() const { return m_manager.busy(); }

 private:
  void Execute(const orders::TakeOrder& command);
  void Execute(const orders::DeliverOrder& command);
  void Execute(const orders::EndOrder& command);
  void Append(v1::Record record);

  core::Incarnation m_incarnation;
  LogAccess& m_log;
  Outbox& m_outbox;
  orders::OrderManager m_manager;
};

}  // namespace coppervalve::router::detail

#endif  // COPPERVALVE_ROUTER_DETAIL_ORDER_ADAPTER_H_
