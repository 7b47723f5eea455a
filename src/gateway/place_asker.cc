#include "coppervalve/gateway/place_asker.h"

#include <boost/asio/post.hpp>  // post
#include <chrono>               // milliseconds
#include <utility>              // move

namespace coppervalve::gateway {

namespace {

// Longer than a round trip within a region; short beside what callers wait.
constexpr std::chrono::milliseconds kAnswerTime{40};
// Datagrams get lost now and then.
constexpr size_t kMostTries = 3;

}  // namespace

v1::PlaceAsk AskFor(const entry::PlacementQuery& query) {
  v1::PlaceAsk ask;
  ask.set_service(query.service.value());
  ask.set_engine(query.engine);
  ask.set_shared_prefix(query.shared_prefix);
  ask.set_shared_tokens(query.shared_tokens.value());
  ask.set_prompt(query.prompt.value());
  for (const core::UpstreamId& id : query.exclude) {
    ask.add_exclude(id.value());
  }
  return ask;
}

entry::PlacementQuery QueryOf(const v1::PlaceAsk& ask) {
  entry::PlacementQuery query;
  query.service = core::ServiceId(ask.service());
  query.engine = ask.engine();
  query.shared_prefix = ask.shared_prefix();
  query.shared_tokens = core::Tokens(ask.shared_tokens());
  query.prompt = core::Tokens(ask.prompt());
  for (const std::string& id : ask.exclude()) {
    query.exclude.emplace_back(id);
  }
  return query;
}

v1::PlaceAnswer AnswerTo(const v1::PlaceAsk& ask,
                         const entry::Placement& placement) {
  v1::PlaceAnswer answer;
  answer.set_ask_epoch(ask.epoch());
  answer.set_ask_id(ask.id());
  if (placement.upstream) {
    const entry::UpstreamEntry& entry = placement.upstream->entry;
    answer.set_upstream(entry.id.value());
    answer.set_service(entry.service.value());
    answer.set_address(entry.address);
    answer.set_failure_domain(entry.failure_domain.value());
    answer.set_slots(entry.slots);
  }
  return answer;
}

PlaceAsker::PlaceAsker(boost::asio::io_context& io,
                       std::string reply_address,
                       Hooks hooks,
                       routing::RandomHook random)
    : m_io(io),
      m_reply_address(std::move(reply_address)),
      m_hooks(std::move(hooks)),
      m_random(std::move(random)) {}

void PlaceAsker::Ask(const entry::PlacementQuery& query, OnTold on_told) {
  const uint64_t id = ++m_last_id;
  Pending pending;
  pending.ask = AskFor(query);
  pending.ask.set_epoch(m_epoch);
  pending.ask.set_id(id);
  pending.ask.set_reply_address(m_reply_address);
  pending.peers = m_hooks.peers();
  pending.on_told = std::move(on_told);
  pending.timer = std::make_shared<boost::asio::steady_timer>(m_io);
  m_pending.emplace(id, std::move(pending));
  boost::asio::post(m_io, [this, id] { Next(id); });
}

void PlaceAsker::Next(uint64_t id) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return;
  }
  Pending& pending = found->second;
  if (pending.peers.empty() || pending.tries == kMostTries) {
    End(id, {});
    return;
  }
  ++pending.tries;
  const uint64_t peer = routing::UniformBelow(m_random, pending.peers.size());
  m_hooks.send(pending.peers[peer], pending.ask);
  pending.timer->expires_after(kAnswerTime);
  pending.timer->async_wait(
      [this, id, timer = pending.timer](const boost::system::error_code& code) {
        if (!code) {
          Next(id);
        }
      });
}

void PlaceAsker::OnAnswer(const v1::PlaceAnswer& answer) {
  if (answer.ask_epoch() != m_epoch || !m_pending.contains(answer.ask_id())) {
    return;
  }
  if (answer.upstream().empty()) {
    Next(answer.ask_id());
    return;
  }
  entry::Placement placement;
  placement.why = entry::PlacementReason::kChosenByPeer;
  placement.upstream = std::make_shared<entry::Upstream>();
  entry::UpstreamEntry& entry = placement.upstream->entry;
  entry.id = core::UpstreamId(answer.upstream());
  entry.service = core::ServiceId(answer.service());
  entry.address = answer.address();
  entry.failure_domain = core::FailureDomainId(answer.failure_domain());
  entry.slots = answer.slots();
  End(answer.ask_id(), placement);
}

void PlaceAsker::End(uint64_t id, const entry::Placement& placement) {
  const auto found = m_pending.find(id);
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  pending.timer->cancel();
  pending.on_told(placement);
}

}  // namespace coppervalve::gateway
