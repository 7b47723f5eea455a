#include "coppervalve/gateway/fleet_view_client.h"

#include <algorithm>  // min
#include <iterator>   // advance
#include <utility>    // move

#include "coppervalve/core/hash.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr core::Duration kAskInterval{1'000'000};
// Time after which a question counts as lost and another router is asked.
constexpr core::Duration kReplyTimeout{150'000};
// The directory returns at most this many addresses, and a reply must fit into
// a datagram.
constexpr size_t kMaxActive = 64;

}  // namespace

v1::FleetViewAnswer ToFleetViewAnswer(const v1::FleetViewAsk& ask,
                                      const entry::FleetView& view) {
  v1::FleetViewAnswer answer;
  answer.set_ask_epoch(ask.epoch());
  answer.set_ask_id(ask.id());
  // Each standby gets other routers of a large active set, so that their
  // callers spread over all of it.
  const size_t count = std::min(view.active.size(), kMaxActive);
  auto next = view.active.begin();
  if (view.active.size() > kMaxActive) {
    std::advance(next, core::Hash64(ask.reply_address()) % view.active.size());
  }
  for (size_t i = 0; i < count; ++i) {
    if (next == view.active.end()) {
      next = view.active.begin();
    }
    v1::ActiveRouter* active = answer.add_active();
    active->set_router(next->first.value());
    active->set_caller_address(next->second.callers);
    active->set_load_address(next->second.loads);
    ++next;
  }
  for (const core::RouterId& router : view.next) {
    answer.add_next(router.value());
  }
  answer.set_live(view.live);
  answer.set_known(view.known);
  answer.set_upstreams(static_cast<uint32_t>(view.upstreams));
  answer.mutable_crashes()->Add(view.crashes.begin(), view.crashes.end());
  return answer;
}

entry::FleetView ToFleetView(const v1::FleetViewAnswer& answer) {
  entry::FleetView view;
  for (const v1::ActiveRouter& active : answer.active()) {
    view.active[core::RouterId(active.router())] = {active.caller_address(),
                                                    active.load_address()};
  }
  for (const std::string& router : answer.next()) {
    view.next.emplace(router);
  }
  view.live = answer.live();
  view.known = answer.known();
  view.upstreams = answer.upstreams();
  view.crashes.assign(answer.crashes().begin(), answer.crashes().end());
  return view;
}

FleetViewClient::FleetViewClient(boost::asio::io_context& io,
                                 std::string reply_address,
                                 Hooks hooks,
                                 routing::RandomSource random)
    : m_reply_address(std::move(reply_address)),
      m_hooks(std::move(hooks)),
      m_random(std::move(random)),
      m_timer(io),
      m_last_id(routing::RandomFirstId(m_random)) {}

void FleetViewClient::SetActive(bool active) {
  if (active == m_active) {
    return;
  }
  m_active = active;
  if (m_active) {
    Ask();
  } else {
    m_timer.cancel();
  }
}

core::Duration FleetViewClient::Age(core::TimePoint now) const {
  return m_view ? now - m_view_received_at : core::Duration::max();
}

void FleetViewClient::Ask() {
  m_answered = false;
  const std::vector<std::string> peers = m_hooks.peers();
  if (!peers.empty() && !m_reply_address.empty()) {
    v1::FleetViewAsk ask;
    ask.set_epoch(m_epoch);
    ask.set_id(++m_last_id);
    ask.set_reply_address(m_reply_address);
    m_hooks.send(peers[routing::UniformBelow(m_random, peers.size())], ask);
  }
  ScheduleAsk(kReplyTimeout);
}

// The jitter keeps routers that started together from asking together.
void FleetViewClient::ScheduleAsk(core::Duration delay) {
  m_timer.expires_after(delay + routing::UniformDuration(m_random, delay / 2));
  m_timer.async_wait([this](const boost::system::error_code& code) {
    if (!code && m_active) {
      Ask();
    }
  });
}

void FleetViewClient::OnAnswer(const v1::FleetViewAnswer& answer) {
  const bool current =
      answer.ask_epoch() == m_epoch && answer.ask_id() == m_last_id;
  if (!m_active || m_answered || !current || answer.active().empty()) {
    return;
  }
  m_answered = true;
  m_view = ToFleetView(answer);
  m_view_received_at = net::BootNow();
  ScheduleAsk(kAskInterval);
  m_hooks.on_view(*m_view);
}

}  // namespace coppervalve::gateway
