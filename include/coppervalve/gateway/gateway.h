#ifndef COPPERVALVE_GATEWAY_GATEWAY_H_
#define COPPERVALVE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>        // uint64_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <optional>       // optional
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/entry/allocation_ledger.h"
#include "coppervalve/entry/configuration_index.h"
#include "coppervalve/entry/fallback_reading.h"
#include "coppervalve/entry/heartbeat_content.h"
#include "coppervalve/entry/heartbeat_rate.h"
#include "coppervalve/entry/member_list.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/policy.h"
#include "coppervalve/entry/retry_budget_share.h"
#include "coppervalve/entry/start_spread.h"
#include "coppervalve/entry/store_contact.h"
#include "coppervalve/entry/stream_versions.h"
#include "coppervalve/entry/topic_age.h"
#include "coppervalve/entry/topic_subscription.h"
#include "coppervalve/entry/transfer_reply_cache.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/crash_monitor.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/exchange.h"
#include "coppervalve/gateway/fleet_view_client.h"
#include "coppervalve/gateway/gateway_metrics.h"
#include "coppervalve/gateway/heartbeat_writer.h"
#include "coppervalve/gateway/keyed_store.h"
#include "coppervalve/gateway/listen_retry.h"
#include "coppervalve/gateway/listener.h"
#include "coppervalve/gateway/peer_messenger.h"
#include "coppervalve/gateway/placement_client.h"
#include "coppervalve/gateway/platform_adapter.h"
#include "coppervalve/gateway/reach_monitor.h"
#include "coppervalve/gateway/read_barrier.h"
#include "coppervalve/gateway/relay_server.h"
#include "coppervalve/gateway/start_probe.h"
#include "coppervalve/gateway/stream_record_reader.h"
#include "coppervalve/gateway/stream_record_writer.h"
#include "coppervalve/gateway/token_requester.h"
#include "coppervalve/gateway/topic_follower.h"
#include "coppervalve/gateway/unknown_headers.h"
#include "coppervalve/gateway/upstream_pool.h"

namespace coppervalve::gateway {

/// @brief Topics and keys of the durable store that the router uses.
struct StoreLayout {
  std::string configuration_topic;
  std::string configuration_key;
  /// Prefix of the keys of evacuations, followed by the failure domain. They
  /// are stored in the configuration topic; empty = evacuations are not read.
  std::string evacuation_prefix;
  std::string upstream_topic;
  std::string heartbeat_topic;
  std::string stream_topic;
  std::string start_topic;
};

/// @brief Startup settings of a router.
struct GatewaySettings {
  core::RouterId router;
  core::FailureDomainId failure_domain;
  std::string caller_address;     ///< listened on and advertised to callers
  std::string readiness_address;  ///< empty = disabled
  std::string directory_address;  ///< empty = disabled
  std::string metrics_address;    ///< empty = disabled
  std::string load_address;  ///< for datagrams of other routers; empty = none
  /// Time between the termination signal and the forced end of the process.
  core::Duration grace{8'000'000};
  core::Duration address_lifetime{2'000'000};
  /// Time after which an upstream that has left gets no more requests.
  core::Duration drain_bound{2'000'000};
  entry::RetryBounds retries;
  entry::WarmUpBounds warm_up;
  /// API keys are rejected once the configuration is older than this; 0 =
  /// never.
  core::Duration key_expiry{};
  /// Store writes per second available to the whole fleet.
  double store_writes_per_second = 600;
  /// Bytes per second that the store sends to the whole fleet; 0 = unknown.
  double store_read_bytes_per_second = 0;
  /// Reads per second that the store accepts from the whole fleet; 0 = unknown.
  double store_reads_per_second = 0;
  size_t store_record_bytes = 0;  ///< that a record may have; 0 = unknown
  /// Interval between two records of the same upstream; 0 = unknown.
  core::Duration upstream_heartbeat{};
  /// Size of this VM; 0 = unknown.
  double processor_cores = 0;
  double link_megabits_per_second = 0;
  size_t memory_bytes = 0;  ///< of this VM; 0 = unknown
  size_t max_sockets = 0;   ///< that this process may open; 0 = unknown
  StoreLayout layout;
  /// Where connections to an upstream's address are opened; null: there.
  Dialer::AddressMap upstream_address;
};

/// @brief One router of the entry fleet.
///
/// Forwards callers' requests to upstreams and returns their responses.
/// Configuration, upstreams and budgets come from the durable store. Everything
/// runs on the thread of the io_context.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io,
          GatewaySettings settings,
          PlatformAdapter adapter,
          KeyedStore store,
          entry::Policy policy = {});
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @brief Listens for callers and starts to serve them. A port that is in use
  /// is tried again until it is free; before that of the callers is, nothing
  /// else starts.
  /// @param on_failure called later if the rest of the start fails for good
  /// @return kSettingBadValue if an address can't ever be listened on
  core::Status Start(std::function<void(const core::Error&)> on_failure = {});
  /// @brief Shuts down gracefully: leaves the address list, lets requests in
  /// progress finish, then returns the claimed ceilings.
  /// @param on_done called when the shutdown is complete
  void Drain(std::function<void()> on_done);
  /// @brief Applies reloaded settings. Addresses cannot change at run time and
  /// are ignored.
  void OnReload(const GatewaySettings& settings);
  /// @brief Notes that changed settings could not be read; those in force stay.
  void OnReloadFailure(const core::Error& error);

 private:
  struct ListeningPort {
    std::string name;  ///< for the log
    std::string address;
    std::shared_ptr<Listener> listener;
  };

  void OnOperatorRecord(const KeyedRecord& record);
  void OnNewestOperatorRecords(const std::vector<KeyedRecord>& records);
  void ApplyConfiguration(const std::string& document);
  std::optional<core::FailureDomainId> ReadEvacuation(
      const KeyedRecord& record);
  void LogEvacuationChange(const entry::EvacuationChange& change);
  void OnUpstreamRecord(const KeyedRecord& record);
  bool IsHeartbeatOnly(const KeyedRecord& record);
  entry::UpstreamRecord ReadUpstreamRecord(const KeyedRecord& record);
  void OnNewestUpstreams(const std::vector<KeyedRecord>& records);
  std::optional<v1::RouterBeat> ParseHeartbeatRecord(const KeyedRecord& record);
  void OnHeartbeatRecord(const KeyedRecord& record);
  void OnNewestHeartbeats(const std::vector<KeyedRecord>& records);
  void StartHeartbeatsIfCaughtUp();
  void LogPredecessor(bool held_back);
  void LogHoldFactor();
  void SetReserveTimes(v1::RouterBeat& beat, core::TimePoint now) const;
  entry::StoreContact& ContactOf(const std::string& topic);
  /// @param caught_up all records of the topic have been read
  void OnStoreAnswer(const std::string& topic, bool caught_up);
  void OnStoreFailure(const std::string& topic,
                      const core::Error& error,
                      const StoreCall& failed);
  entry::HeartbeatLimits Limits() const;
  core::Duration LongestHeartbeatPeriod() const;
  core::Duration FirstWriteDelay(bool size_unknown) const;
  void ComposeHeartbeat(v1::RouterBeat& beat);
  size_t MaxHeartbeatBytes() const;
  void OnHeartbeatRefused(size_t bytes);
  double Capacity() const;
  void NotifyGrantWaiters();
  void Tick();
  void TryFinishDrain();
  void FinishDrain(int64_t in_progress);
  void LogActiveRouters();
  std::optional<core::Duration> TimeUntilShutdown() const;
  /// @return what this router still needs to serve callers; empty if nothing
  std::string_view MissingForReadiness() const;
  bool Ready() const { return MissingForReadiness().empty(); }
  bool KnowsUpstreams() const;
  bool FleetSizeKnown() const;
  bool ClaimsAsActive(core::TimePoint now) const;
  void UpdateTableReading();
  void OnTableReadingStopped();
  entry::ConfigurationView View() const;

  void MakeFollowers();
  core::Duration StartingPause() const;
  entry::ReadLoad ConfigurationLoad() const;
  void ProbeFleet();
  void StartReading(const StartProbe::Result& fleet);
  void StartLater(const std::shared_ptr<TopicFollower>& follower,
                  core::Duration delay);
  void SetFleetFacts(v1::RouterBeat& beat) const;
  void MakeHeartbeatWriter();
  void BindLoadPort();
  void MakePeerMessenger();
  void StartLoadReports();
  size_t MaxSockets() const;
  void MakeRelayServer();
  std::optional<std::string> RelayedAddressOf(const core::UpstreamId& id) const;
  void OnRelayConnect(const core::UpstreamId& id, ConnectResult result);
  void MakeTokenRequester();
  void OnTokenAsk(const v1::TokenAsk& ask);
  void MakeFleetViewClient();
  void OnFleetViewAsk(const v1::FleetViewAsk& ask);
  size_t AccountCount() const;
  entry::TopicCost HeartbeatCost() const;
  core::Duration HeartbeatListInterval() const;
  core::Duration FallbackDelay() const;
  void UpdateHeartbeatReading();
  void OnHeartbeatReadingStopped();
  bool PostponeStart();
  void MakeStreamRecords();
  void UpdateStreamVersions(core::TimePoint now);
  void OnStreamStart(const entry::StreamStart& start);
  /// @brief Adds the versions that each service has to a heartbeat.
  void StateVersions(v1::RouterBeat& beat) const;
  void OnStatedVersions(const v1::RouterBeat& beat);
  void ResolveStream(entry::StreamKey stream,
                     const core::ServiceId& service,
                     std::function<void(const StreamResumption&)> on_resolved);
  /// @brief Reads what was written of a stream and of the versions of its
  /// service.
  void ReadStreamVersion(
      entry::StreamKey stream,
      const core::ServiceId& service,
      std::function<void(entry::RecordsRead, const StreamResumption&)> on_read);
  entry::RecordsRead UnreadRecords(core::TimePoint now) const;
  /// @return whether no other router can know of a version that this one has
  /// not read of
  bool KnowsAllVersions(bool table_behind, core::TimePoint now) const;
  StreamResumption Resumption(entry::StreamKey stream,
                              const core::ServiceId& service,
                              entry::RecordsRead read) const;
  void MakePlacementClient();
  void OnPlaceAsk(const v1::PlaceAsk& ask);
  void AnswerPlaceAsk(const v1::PlaceAsk& ask, bool table_behind);
  void MakeListeners();
  void AddListener(std::string name,
                   const std::string& address,
                   CallerConnection::Hooks hooks);
  core::Status CheckAddresses() const;
  core::Status OpenPorts();
  core::Status OpenPort(const ListeningPort& port,
                        std::function<void()> on_open);
  core::Status OpenOtherPorts();
  void Serve();
  ListenRetry::Hooks PortHooks();
  CallerConnection::Hooks CallerHooks(
      std::function<void(const CallerRef&, CallerRequest)> on_request);
  void OnConnectionEnded(const net::ConnectionRegistry::Excess& excess);
  void ServeMetrics(const CallerRef& caller);
  void LogLifecycle(LogLine line);

  boost::asio::io_context& m_io;
  GatewaySettings m_settings;
  entry::Policy m_policy;
  PlatformAdapter m_adapter;
  KeyedStore m_store;
  routing::RandomSource m_random;
  EventLog m_log;
  GatewayMetrics m_metrics;

  std::shared_ptr<const entry::ConfigurationIndex> m_in_force;
  entry::StoreContact m_contact;  ///< contact with any topic
  /// Contact with each topic. A missing record proves something only while its
  /// own topic is being read; replies for other topics do not count.
  entry::StoreContact m_config_contact;
  entry::StoreContact m_upstream_contact;
  entry::StoreContact m_beat_contact;
  entry::UpstreamDirectory m_directory;
  entry::PeerLoads m_peer_loads;
  entry::PeerContact m_peers;
  entry::PrefillTimeEstimator m_pace;
  entry::RetryBudgetShare m_retries;
  entry::AllocationLedger m_book;
  entry::MemberList m_members;
  entry::UpstreamSenders m_senders;
  entry::UpstreamGate m_gate;
  entry::Placer m_placer;
  Dialer m_dialer;
  UpstreamPool m_pool;
  UnknownHeaders m_unknown_words;
  CrashMonitor m_crashes;
  ReachMonitor m_reach;
  std::optional<ExchangeContext> m_context;

  entry::TopicSubscription m_table_readers;
  entry::TopicAge m_table_age;  ///< of the table of upstreams
  entry::TopicAge m_configuration_age;
  /// Heartbeats are read by a small part of a large fleet: unlike the table of
  /// upstreams they are written by the fleet itself, so their bytes grow with
  /// its square.
  entry::TopicSubscription m_heartbeat_readers{{.max_store_share = 0.1}};
  bool m_start_spread = false;  ///< this start waited for its turn to read
  size_t m_configuration_bytes = 0;
  entry::FallbackReading m_fallback_reading{[this] { return FallbackDelay(); }};
  bool m_follows_heartbeats = true;
  /// Time of the second list of heartbeats, if this start was postponed.
  std::optional<core::TimePoint> m_postponed_until;
  std::unordered_map<std::string, std::string> m_upstream_documents;
  std::shared_ptr<TopicFollower> m_configuration;
  std::shared_ptr<TopicFollower> m_upstreams;
  std::shared_ptr<TopicFollower> m_heartbeats;
  std::shared_ptr<HeartbeatWriter> m_heartbeat_writer;
  entry::StreamVersions m_stream_versions;
  std::shared_ptr<StreamRecordWriter> m_stream_writer;
  std::shared_ptr<StreamRecordReader> m_stream_reader;
  std::shared_ptr<ReadBarrier> m_table_barrier;
  std::unique_ptr<PeerMessenger> m_peer_messenger;
  std::unique_ptr<RelayServer> m_relay_server;
  /// Since then no earlier process of this VM can be running, because it would
  /// hold the load port; none: the port could not be bound.
  std::optional<core::TimePoint> m_load_port_bound_since;
  bool m_load_reports_started = false;
  std::optional<uint64_t> m_announced_epoch;  ///< of this start
  std::string m_boot;  ///< boot id of the VM; empty when unknown
  std::unique_ptr<TokenRequester> m_token_requester;
  std::unique_ptr<PlacementClient> m_placement_client;
  std::unique_ptr<FleetViewClient> m_fleet_view_client;
  entry::TransferReplyCache m_transfer_replies;
  std::shared_ptr<net::ConnectionRegistry> m_connections;
  std::vector<ListeningPort> m_listeners;
  std::shared_ptr<Listener> m_callers;
  ListenRetry m_ports;
  bool m_serving = false;  ///< the callers' port is open
  std::function<void(const core::Error&)> m_on_start_failure;
  std::vector<std::function<void()>> m_grant_waiters;
  entry::Demand m_arrivals;            ///< counts requests, not tokens
  entry::Demand m_heartbeat_arrivals;  ///< counts heartbeats of all routers
  boost::asio::steady_timer m_tick;

  v1::RouterBeat m_own_record;  ///< newest one of an earlier start
  /// No earlier start can write at or after this offset.
  std::optional<uint64_t> m_epoch_log_end;
  /// Longest possible delay between the start of an evacuation and its receipt
  /// by this router.
  core::Duration m_evacuation_known_within{};
  /// All heartbeat records before this offset have been read.
  uint64_t m_heartbeats_read_to = 0;
  bool m_upstreams_known = false;
  size_t m_upstreams_listed = 0;  ///< by the pages of the table read so far
  bool m_first_heartbeat_read = false;
  size_t m_heartbeat_bytes = 0;  ///< size of the last one written
  size_t m_max_heartbeat_bytes = 0;
  entry::HeartbeatOmissions m_omitted;  ///< from the last heartbeat
  bool m_was_ready = false;
  std::string_view m_missing_logged;
  bool m_was_active = false;
  bool m_claimed_as_active = false;
  uint64_t m_first_claim_sequence = 0;  ///< heartbeat with it; 0 = none yet
  bool m_claims_read = false;           ///< that heartbeat was read back
  uint32_t m_active_logged = 0;
  double m_hold_logged = 1;
  std::optional<core::TimePoint> m_leaving_since;
  std::optional<core::TimePoint> m_closing_since;
  bool m_last_claim_written = false;
  core::TimePoint m_last_request{};
  std::function<void()> m_on_drained;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_GATEWAY_H_
