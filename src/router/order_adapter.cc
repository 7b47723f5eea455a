#include "coppervalve/router/detail/order_adapter.h"

#include <string>   // to_string
#include <utility>  // move
#include <variant>  // get_if, visit

namespace coppervalve::router::detail {

using core::TimePoint;

namespace {

LogFields FieldsOf(const core::UpstreamId& upstream,
                   core::FencingNumber fencing) {
  return {{"upstream", upstream.value()},
          {"fencing", std::to_string(fencing.value())}};
}

}  // namespace

OrderAdapter::OrderAdapter(const core::RouterId& router,
                           core::Incarnation incarnation,
                           LogAccess& log,
                           Outbox& outbox)
    : m_incarnation(incarnation),
      m_log(log),
      m_outbox(outbox),
      m_manager({router, incarnation}) {}

void OrderAdapter::AfterReading(TimePoint now) {
  m_manager.Update(now, m_log.fold());
}

void OrderAdapter::OnEffect(TimePoint now, const ledger::Effect& effect) {
  if (const auto* refused = std::get_if<ledger::OrderTakeRefused>(&effect)) {
    if (refused->incarnation == m_incarnation) {
      m_manager.OnTakeRefused(now, refused->upstream, refused->fencing);
    }
  } else if (const auto* ended = std::get_if<ledger::OrderEnded>(&effect)) {
    LogFields fields = FieldsOf(ended->upstream, ended->fencing);
    fields.emplace_back("outcome", v1::OrderOutcome_Name(ended->outcome));
    m_outbox.Info("order_ended", std::move(fields));
  }
}

void OrderAdapter::OnSent(TimePoint now, const OrderSent& event) {
  m_manager.OnSent(now, event.upstream, event.fencing, event.outcome);
}

void OrderAdapter::Pump(TimePoint now, const orders::Permit& permit) {
  // An outcome that does not fit into the backlog would be lost and its order
  // would stay open with an idle holder, so room is checked first.
  if (m_manager.open() == 0 || !m_log.HasRoomFor(2 * m_manager.open())) {
    return;
  }
  for (const orders::Command& command : m_manager.Pump(now, permit)) {
    std::visit([this](const auto& c) { Execute(c); }, command);
  }
}

void OrderAdapter::Execute(const orders::TakeOrder& command) {
  v1::Record record;
  v1::OrderTaken& taken = *record.mutable_order_taken();
  taken.set_upstream(command.upstream.value());
  taken.set_fencing_number(command.fencing.value());
  Append(std::move(record));
}

void OrderAdapter::Execute(const orders::DeliverOrder& command) {
  m_outbox.Info("order_sent", FieldsOf(command.upstream, command.fencing));
  m_outbox.Add(SendOrder{command.upstream, command.address, command.fencing,
                         command.order});
}

void OrderAdapter::Execute(const orders::EndOrder& command) {
  v1::Record record;
  v1::OrderEnded& ended = *record.mutable_order_ended();
  ended.set_upstream(command.upstream.value());
  ended.set_fencing_number(command.fencing.value());
  ended.set_outcome(command.outcome);
  Append(std::move(record));
}

void OrderAdapter::Append(v1::Record record) {
  const core::Status added =
      m_log.Add(std::move(record), logclient::Urgency::kUrgent);
  if (!core::IsOk(added)) {
    m_outbox.Alarm(core::Failure(added));
  }
}

}  // namespace coppervalve::router::detail
