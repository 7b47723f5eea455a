#include "coppervalve/router/detail/order_link.h"

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

OrderLink::OrderLink(const core::RouterId& router,
                     core::Incarnation incarnation,
                     LogDesk& log,
                     Outbox& outbox)
    : m_incarnation(incarnation),
      m_log(log),
      m_outbox(outbox),
      m_desk({router, incarnation}) {}

void OrderLink::AfterReading(TimePoint now) {
  m_desk.Follow(now, m_log.fold());
}

void OrderLink::OnEffect(TimePoint now, const ledger::Effect& effect) {
  if (const auto* refused = std::get_if<ledger::OrderTakeRefused>(&effect)) {
    if (refused->incarnation == m_incarnation) {
      m_desk.OnTakeRefused(now, refused->upstream, refused->fencing);
    }
  } else if (const auto* ended = std::get_if<ledger::OrderEnded>(&effect)) {
    LogFields fields = FieldsOf(ended->upstream, ended->fencing);
    fields.emplace_back("outcome", v1::OrderOutcome_Name(ended->outcome));
    m_outbox.Info("order_ended", std::move(fields));
  }
}

void OrderLink::OnSent(TimePoint now, const OrderSent& event) {
  m_desk.OnSent(now, event.upstream, event.fencing, event.outcome);
}

void OrderLink::Pump(TimePoint now, const orders::Permit& permit) {
  // An outcome that does not fit into the backlog would be lost and its order
  // would stay open with an idle holder, so room is checked first.
  if (m_desk.open() == 0 || !m_log.HasRoomFor(2 * m_desk.open())) {
    return;
  }
  for (const orders::Command& command : m_desk.Pump(now, permit)) {
    std::visit([this](const auto& c) { Carry(c); }, command);
  }
}

void OrderLink::Carry(const orders::Take& command) {
  v1::Record record;
  v1::OrderTaken& taken = *record.mutable_order_taken();
  taken.set_upstream(command.upstream.value());
  taken.set_fencing_number(command.fencing.value());
  Append(std::move(record));
}

void OrderLink::Carry(const orders::Send& command) {
  m_outbox.Info("order_sent", FieldsOf(command.upstream, command.fencing));
  m_outbox.Add(SendOrder{command.upstream, command.address, command.fencing,
                         command.order});
}

void OrderLink::Carry(const orders::State& command) {
  v1::Record record;
  v1::OrderEnded& ended = *record.mutable_order_ended();
  ended.set_upstream(command.upstream.value());
  ended.set_fencing_number(command.fencing.value());
  ended.set_outcome(command.outcome);
  Append(std::move(record));
}

void OrderLink::Append(v1::Record record) {
  const core::Status added =
      m_log.Add(std::move(record), logclient::Urgency::kUrgent);
  if (!core::IsOk(added)) {
    m_outbox.Alarm(core::Failure(added));
  }
}

}  // namespace coppervalve::router::detail
