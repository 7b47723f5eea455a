#include "coppervalve/gateway/placement_client.h"

#include <algorithm>            // min
#include <boost/asio/post.hpp>  // post
#include <chrono>               // duration_cast, milliseconds
#include <utility>              // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// Longer than a round trip within a region, but short compared to callers'
// timeouts.
constexpr std::chrono::milliseconds kReplyTimeout{40};

// Before its first complete read, a table has no age.
uint32_t ToMillis(core::Duration age) {
  constexpr std::chrono::hours kLongest{1};
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::min<core::Duration>(age, kLongest))
          .count());
}

entry::Placement ToPlacement(const v1::PlaceAnswer& answer,
                             uint32_t routers_asked) {
  entry::Placement placement;
  if (answer.upstream().empty()) {
    return placement;
  }
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
                     answer.outdated(), routers_asked};
  return placement;
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
      m_random(std::move(random)),
      m_last_id(routing::RandomFirstId(m_random)) {}

void PlacementClient::RequestPlacement(const entry::PlacementQuery& query,
                                       PlacementCallback on_placement) {
  const uint64_t id = ++m_last_id;
  Pending pending{
      ToPlaceAsk(query),
      entry::PlacementSearch(m_hooks.peers(), m_outdated_peers,
                             m_hooks.reaches_store(), net::BootNow()),
      std::move(on_placement),
      std::make_shared<boost::asio::steady_timer>(m_io)};
  pending.ask.set_epoch(m_epoch);
  pending.ask.set_reply_address(m_reply_address);
  m_pending.emplace(id, std::move(pending));
  boost::asio::post(m_io, [this, id] { SendToNextPeer(id); });
}

// Each message has an id of its own, so that a reply shows which router it came
// from.
void PlacementClient::SendToNextPeer(uint64_t id) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return;
  }
  Pending& pending = found->second;
  const std::optional<std::string> peer = pending.search.Next(m_random);
  if (!peer) {
    Finish(id);
    return;
  }
  const size_t message = pending.search.asked().size() - 1;
  pending.ask.set_id(id * entry::PlacementSearch::kMaxAsked + message);
  pending.timer->expires_after(kReplyTimeout);
  pending.timer->async_wait([this, id, message, timer = pending.timer](
                                const boost::system::error_code& code) {
    if (!code) {
      OnReply(id, message, entry::Placement());
    }
  });
  m_hooks.send(*peer, pending.ask);
}

void PlacementClient::OnReply(uint64_t id,
                              size_t message,
                              const entry::Placement& placement) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return;
  }
  entry::PlacementSearch& search = found->second.search;
  const bool current = placement.upstream && !placement.table.outdated;
  m_outdated_peers.OnReply(search.asked()[message], current, net::BootNow());
  // What arrives late and is of little use must not end the wait for the next
  // reply.
  const bool late = message + 1 < search.asked().size();
  if (current || !late) {
    search.OnReply(placement);
    SendToNextPeer(id);
  }
}

void PlacementClient::OnAnswer(const v1::PlaceAnswer& answer) {
  const uint64_t id = answer.ask_id() / entry::PlacementSearch::kMaxAsked;
  const auto found = m_pending.find(id);
  if (answer.ask_epoch() != m_epoch || found == m_pending.end()) {
    return;
  }
  const entry::PlacementSearch& search = found->second.search;
  const size_t message = answer.ask_id() % entry::PlacementSearch::kMaxAsked;
  if (message >= search.asked().size()) {
    return;
  }
  OnReply(id, message,
          ToPlacement(answer, static_cast<uint32_t>(search.asked().size())));
}

void PlacementClient::Finish(uint64_t id) {
  const auto found = m_pending.find(id);
  const Pending pending = std::move(found->second);
  m_pending.erase(found);
  pending.timer->cancel();
  pending.on_placement(pending.search.Result());
}

}  // namespace coppervalve::gateway
