// Decides whether this router follows the upstream table, and places requests
// for routers that do not.
#include <algorithm>  // max
#include <utility>    // move

#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

// A router that begins to follow the table goes on asking others for placements
// until it has listed it.
bool Gateway::KnowsUpstreams() const {
  const bool others_place = m_was_ready && !m_members.LoadAddresses().empty();
  return m_upstreams_known || !m_table_readers.follows() || others_place;
}

// In a new fleet the records of routers and upstreams appear one by one. If all
// routers followed the table until they had seen how large the fleet is, they
// would read most of it.
bool Gateway::FleetSizeKnown() const {
  return m_heartbeat_writer->started() &&
         m_members.SinceLastJoined(net::BootNow()) >= m_policy.settle;
}

void Gateway::UpdateTableReading() {
  const size_t upstreams = std::max(
      {m_directory.size(), m_members.MaxUpstreamCount(), m_upstreams_listed});
  entry::TopicCost cost;
  // While no router has read the table, its size is unknown. If that counted as
  // an empty table, all routers would read it at once, and none would complete.
  cost.known = FleetSizeKnown() && upstreams != 0;
  cost.bytes_per_second =
      entry::UpstreamTableBytes(upstreams, m_settings.upstream_heartbeat);
  cost.routers = m_members.KnownCount();
  cost.store_bytes_per_second = m_settings.store_read_bytes_per_second;
  const bool followed = m_table_readers.follows();
  const bool follows = m_table_readers.Advance(
      cost, m_members.SelfActiveOrNext(), net::BootNow());
  if (follows != followed && cost.known) {
    LogLifecycle(LogLine("follows_upstreams")
                     .Flag("follows", follows)
                     .Number("upstreams", static_cast<int64_t>(upstreams))
                     .Number("routers", static_cast<int64_t>(cost.routers)));
  }
  if (follows) {
    m_upstreams->Resume();
  }
}

void Gateway::OnTableReadingStopped() {
  m_table_age = {};
  m_upstreams_known = false;
  m_upstream_documents.clear();
  m_stream_versions.OnTableLost();
}

void Gateway::MakePlacementClient() {
  PlacementClient::Hooks hooks;
  hooks.peers = [this] {
    return entry::PlacementPeers{m_members.LoadAddresses(),
                                 m_members.NextLoadAddresses()};
  };
  hooks.reaches_store = [this] { return m_contact.up(); };
  hooks.send = [this](const std::string& address, const v1::PlaceAsk& ask) {
    if (m_peer_messenger) {
      v1::PeerDatagram datagram;
      *datagram.mutable_place_ask() = ask;
      m_peer_messenger->Send(address, datagram);
    }
  };
  m_placement_client = std::make_unique<PlacementClient>(
      m_io, m_settings.load_address, std::move(hooks), m_random);
}

void Gateway::OnPlaceAsk(const v1::PlaceAsk& ask) {
  if (!ask.sole_version_only() || !m_upstreams_known || !m_contact.up()) {
    AnswerPlaceAsk(ask, /*table_behind=*/!m_contact.up());
    return;
  }
  // The stream may have started at a version that joined a moment ago.
  m_table_barrier->Wait([this, ask](bool passed) {
    UpdateStreamVersions(net::BootNow());
    AnswerPlaceAsk(ask, /*table_behind=*/!passed);
  });
}

// While the upstream is warming up, the request that the other router then
// sends to it counts as sent by this router.
void Gateway::AnswerPlaceAsk(const v1::PlaceAsk& ask, bool table_behind) {
  const core::TimePoint now = net::BootNow();
  entry::Placement placement;
  if (m_upstreams_known) {
    entry::PlacementQuery query = ToPlacementQuery(ask);
    query.routers = m_members.ActiveCount();
    if (query.sole_version_only && KnowsAllVersions(table_behind, now)) {
      query.version = m_stream_versions.SoleVersion(query.service, now);
    }
    if (!query.sole_version_only || query.version) {
      placement = m_placer.Choose(m_directory, query, now);
    }
  }
  if (placement.upstream) {
    m_gate.OnSend(*placement.upstream, now);
  }
  placement.table.router = m_settings.router;
  placement.table.age = m_table_age.At(now);
  placement.table.outdated =
      placement.table.age > entry::MaxTableAge(m_settings.drain_bound) ||
      (placement.upstream && placement.upstream->expired_at);
  v1::PeerDatagram datagram;
  *datagram.mutable_place_answer() = ToPlaceAnswer(ask, placement);
  m_peer_messenger->Send(ask.reply_address(), datagram);
}

}  // namespace coppervalve::gateway
