#include "coppervalve/gateway/placement_client.h"

#include <algorithm>            // min
#include <boost/asio/post.hpp>  // post
#include <chrono>               // duration_cast, milliseconds
#include <utility>              // move

namespace coppervalve::gateway {

namespace {

// Longer than a round trip within a region, but short compared to callers'
// timeouts.
constexpr std::chrono::milliseconds kReplyTimeout{40};
// Datagrams may be lost, so requests are repeated.
constexpr uint32_t kMaxTries = 3;

// Before its first complete read, a table has no age.
uint32_t ToMillis(core::Duration age) {
  constexpr std::chrono::hours kLongest{1};
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::min<core::Duration>(age, kLongest))
          .count());
}

}  // namespace

v1::PlaceAsk ToPlaceAsk(const entry::PlacementQuery& query) {
  v1::PlaceAsk ask;
  ask.set_service(query.service.value());
  ask.set_engine(query.engine);
  ask.set_shared_prefix(query.shared_prefix);
  ask.set_shared_tokens(query.shared_tokens.value());
  ask.set_prompt(query.prompt.value());
  for (const core::UpstreamId& id : query.exclude) {
    ask.add_exclude(id.value());
  }
  if (query.version) {
    ask.set_version(query.version->value());
  }
  ask.set_sole_version_only(query.sole_version_only);
  return ask;
}

entry::PlacementQuery ToPlacementQuery(const v1::PlaceAsk& ask) {
  entry::PlacementQuery query;
  query.service = core::ServiceId(ask.service());
  query.engine = ask.engine();
  query.shared_prefix = ask.shared_prefix();
  query.shared_tokens = core::Tokens(ask.shared_tokens());
  query.prompt = core::Tokens(ask.prompt());
  for (const std::string& id : ask.exclude()) {
    query.exclude.emplace_back(id);
  }
  if (ask.has_version()) {
    query.version = core::UpstreamVersion(ask.version());
  }
  query.sole_version_only = ask.sole_version_only();
  return query;
}

v1::PlaceAnswer ToPlaceAnswer(const v1::PlaceAsk& ask,
                              const entry::Placement& placement) {
  v1::PlaceAnswer answer;
  answer.set_ask_epoch(ask.epoch());
  answer.set_ask_id(ask.id());
  answer.set_router(placement.table.router.value());
  if (placement.upstream) {
    const entry::UpstreamEntry& entry = placement.upstream->entry;
    answer.set_upstream(entry.id.value());
    answer.set_service(entry.service.value());
    answer.set_address(entry.address);
    answer.set_failure_domain(entry.failure_domain.value());
    answer.set_slots(entry.slots);
    answer.set_version(entry.version.value());
    answer.set_outdated(placement.table.outdated);
    answer.set_table_age_ms(ToMillis(placement.table.age));
  }
  return answer;
}

PlacementClient::PlacementClient(boost::asio::io_context& io,
                                 std::string reply_address,
                                 Hooks hooks,
                                 routing::RandomSource random)
    : m_io(io),
      m_reply_address(std::move(reply_address)),
      m_hooks(std::move(hooks)),
      m_random(std::move(random)) {}

void PlacementClient::RequestPlacement(const entry::PlacementQuery& query,
                                       PlacementCallback on_placement) {
  const uint64_t id = ++m_last_id;
  Pending pending;
  pending.ask = ToPlaceAsk(query);
  pending.ask.set_epoch(m_epoch);
  pending.ask.set_id(id);
  pending.ask.set_reply_address(m_reply_address);
  pending.peers = m_hooks.peers();
  pending.on_placement = std::move(on_placement);
  pending.timer = std::make_shared<boost::asio::steady_timer>(m_io);
  m_pending.emplace(id, std::move(pending));
  boost::asio::post(m_io, [this, id] { SendToNextPeer(id); });
}

void PlacementClient::SendToNextPeer(uint64_t id) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return;
  }
  Pending& pending = found->second;
  if (pending.peers.empty() || pending.tries == kMaxTries) {
    Finish(id, entry::Placement(pending.outdated));
    return;
  }
  ++pending.tries;
  const uint64_t peer = routing::UniformBelow(m_random, pending.peers.size());
  m_hooks.send(pending.peers[peer], pending.ask);
  if (pending.peers.size() > 1) {
    pending.peers.erase(pending.peers.begin() + static_cast<int64_t>(peer));
  }
  pending.timer->expires_after(kReplyTimeout);
  pending.timer->async_wait(
      [this, id, timer = pending.timer](const boost::system::error_code& code) {
        if (!code) {
          SendToNextPeer(id);
        }
      });
}

void PlacementClient::OnAnswer(const v1::PlaceAnswer& answer) {
  if (answer.ask_epoch() != m_epoch || !m_pending.contains(answer.ask_id())) {
    return;
  }
  if (answer.upstream().empty()) {
    SendToNextPeer(answer.ask_id());
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
  entry.version = core::UpstreamVersion(answer.version());
  placement.table = {core::RouterId(answer.router()),
                     std::chrono::milliseconds(answer.table_age_ms()),
                     answer.outdated(), m_pending.at(answer.ask_id()).tries};
  if (answer.outdated()) {
    m_pending.at(answer.ask_id()).outdated = placement;
    SendToNextPeer(answer.ask_id());
    return;
  }
  Finish(answer.ask_id(), placement);
}

void PlacementClient::Finish(uint64_t id, const entry::Placement& placement) {
  const auto found = m_pending.find(id);
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  pending.timer->cancel();
  pending.on_placement(placement);
}

}  // namespace coppervalve::gateway
