#ifndef COPPERVALVE_GATEWAY_GATEWAY_H_
#define COPPERVALVE_GATEWAY_GATEWAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>        // uint64_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/entry/allotment_book.h"
#include "coppervalve/entry/beat_rate.h"
#include "coppervalve/entry/configuration_index.h"
#include "coppervalve/entry/gift_memory.h"
#include "coppervalve/entry/member_list.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/policy.h"
#include "coppervalve/entry/retry_budget_share.h"
#include "coppervalve/entry/store_contact.h"
#include "coppervalve/entry/table_subscription.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/gateway/beat_writer.h"
#include "coppervalve/gateway/borrower.h"
#include "coppervalve/gateway/crash_watch.h"
#include "coppervalve/gateway/dialect.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/exchange.h"
#include "coppervalve/gateway/gateway_metrics.h"
#include "coppervalve/gateway/keyed_store.h"
#include "coppervalve/gateway/listener.h"
#include "coppervalve/gateway/load_exchange.h"
#include "coppervalve/gateway/place_asker.h"
#include "coppervalve/gateway/topic_follower.h"
#include "coppervalve/gateway/unknown_words.h"
#include "coppervalve/gateway/upstream_pool.h"

namespace coppervalve::gateway {

/// @brief Where the durable store keeps what the router reads and writes.
struct StoreLayout {
  std::string configuration_topic;
  std::string configuration_key;
  /// Before the failure domain in the keys of evacuations; of the topic of the
  /// configuration. Empty = none are read.
  std::string evacuation_prefix;
  std::string upstream_topic;
  std::string beat_topic;
};

/// @brief What a router is told when it starts.
struct GatewaySettings {
  core::RouterId router;
  core::FailureDomainId failure_domain;
  std::string caller_address;     ///< listened on, and given to callers
  std::string readiness_address;  ///< empty = not served
  std::string directory_address;  ///< empty = not served
  std::string metrics_address;    ///< empty = not served
  std::string load_address;       ///< of load reports; empty = none
  /// From the signal to end until the process is ended by force.
  core::Duration grace{8'000'000};
  core::Duration address_lifetime{2'000'000};
  entry::RetryBounds retries;
  entry::WarmUpBounds warm_up;
  /// Keys are not honoured past this age of the configuration; 0 = for ever.
  core::Duration keys_expire{};
  /// Writes a second that the store takes from the whole fleet.
  double store_writes_per_second = 600;
  /// Bytes a second that the store sends to the whole fleet; 0 = not said.
  double store_read_bytes_per_second = 0;
  /// Between records of one upstream; 0 = not said.
  core::Duration upstream_heartbeat{};
  /// Of this VM; 0 = not said.
  double processor_cores = 0;
  double link_megabits_per_second = 0;
  StoreLayout layout;
};

/// @brief One router of the entry fleet: callers' requests in, upstreams'
/// answers out; configuration, upstreams and budgets from the durable store.
///
/// All of it runs on the thread of the io_context.
class Gateway {
 public:
  Gateway(boost::asio::io_context& io,
          GatewaySettings settings,
          Dialect dialect,
          KeyedStore store,
          entry::Policy policy = {});
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @return kSettingBadValue when an address can't be listened on
  core::Status Start();
  /// @brief Leaves in order: out of the address list first, then the requests
  /// in progress end, then the ceilings are given back.
  /// @param on_done when nothing is left to do
  void Drain(std::function<void()> on_done);
  /// @brief The settings were read again. What changes at run time is taken
  /// over; addresses stay as they were.
  void OnReload(const GatewaySettings& settings);

 private:
  void OnOperatorRecord(const KeyedRecord& record);
  void OnNewestOperatorRecords(const std::vector<KeyedRecord>& records);
  void Configure(const std::string& document);
  std::optional<core::FailureDomainId> ReadEvacuation(
      const KeyedRecord& record);
  void TellEvacuation(const entry::EvacuationChange& change);
  void OnUpstreamRecord(const KeyedRecord& record);
  bool OnlySaysItLives(const KeyedRecord& record);
  entry::UpstreamRecord ReadUpstreamRecord(const KeyedRecord& record);
  void OnNewestUpstreams(const std::vector<KeyedRecord>& records);
  std::optional<v1::RouterBeat> ReadBeatRecord(const KeyedRecord& record);
  void OnBeatRecord(const KeyedRecord& record);
  void OnNewestBeats(const std::vector<KeyedRecord>& records);
  void BeginBeatsIfAllRead();
  void TellPredecessor(bool held_back);
  void TellHold();
  void VouchForReserves(v1::RouterBeat& beat, core::TimePoint now) const;
  entry::StoreContact& ContactOf(const std::string& topic);
  void OnStoreAnswer(const std::string& topic);
  void OnStoreFailure(const std::string& topic,
                      const core::Error& error,
                      core::TimePoint began);
  entry::BeatLimits Limits() const;
  void ComposeBeat(v1::RouterBeat& beat);
  double Capacity() const;
  void GrantsChanged();
  void Tick();
  void TryToEnd();
  void TellActive();
  std::optional<core::Duration> TimeToStop() const;
  bool Ready() const;
  bool KnowsUpstreams() const;
  void ChooseTableReaders();
  void OnTableStopped();
  entry::ConfigurationView View() const;

  void MakeFollowers();
  void MakeBeatWriter();
  void TakePort();
  void MakeLoadExchange();
  void ShareLoads(uint64_t epoch);
  void MakeBorrower();
  void OnTokenAsk(const v1::TokenAsk& ask);
  void MakePlaceAsker();
  void OnPlaceAsk(const v1::PlaceAsk& ask);
  core::Status MakeListeners();
  CallerConnection::Hooks CallerHooks(
      std::function<void(const CallerRef&, CallerRequest)> on_request);
  void ServeMetrics(const CallerRef& caller);
  void Lifecycle(LogLine line);

  boost::asio::io_context& m_io;
  GatewaySettings m_settings;
  entry::Policy m_policy;
  Dialect m_dialect;
  KeyedStore m_store;
  routing::RandomHook m_random;
  EventLog m_log;
  GatewayMetrics m_metrics;

  std::shared_ptr<const entry::ConfigurationIndex> m_in_force;
  entry::StoreContact m_contact;  ///< of all topics
  /// Of each topic alone. What a topic doesn't say proves something only while
  /// that topic itself is read: another one's answers don't.
  entry::StoreContact m_config_contact;
  entry::StoreContact m_upstream_contact;
  entry::StoreContact m_beat_contact;
  entry::UpstreamDirectory m_directory;
  entry::PeerLoads m_peer_loads;
  entry::PeerContact m_peers;
  entry::PrefillTimeEstimator m_pace;
  entry::RetryBudgetShare m_retries;
  entry::AllotmentBook m_book;
  entry::MemberList m_members;
  entry::UpstreamSenders m_senders;
  entry::UpstreamGate m_gate;
  entry::Placer m_placer;
  UpstreamPool m_pool;
  UnknownWords m_unknown_words;
  CrashWatch m_crashes;
  std::optional<ExchangeContext> m_context;

  entry::TableSubscription m_table_readers;
  std::unordered_map<std::string, std::string> m_upstream_documents;
  std::shared_ptr<TopicFollower> m_configuration;
  std::shared_ptr<TopicFollower> m_upstreams;
  std::shared_ptr<TopicFollower> m_beats;
  std::shared_ptr<BeatWriter> m_writer;
  std::unique_ptr<LoadExchange> m_loads;
  /// Since when no earlier process of this VM can live; none: can't be told.
  std::optional<core::TimePoint> m_alone_since;
  bool m_sharing = false;
  std::string m_boot;  ///< empty when it can't be told
  std::unique_ptr<Borrower> m_borrower;
  std::unique_ptr<PlaceAsker> m_place_asker;
  entry::GiftMemory m_gifts;
  std::vector<std::shared_ptr<Listener>> m_listeners;
  std::shared_ptr<Listener> m_callers;
  std::vector<std::function<void()>> m_waiting;
  entry::Demand m_arrivals;  ///< requests, not tokens
  boost::asio::steady_timer m_tick;

  v1::RouterBeat m_own_record;          ///< newest of an earlier start
  std::optional<uint64_t> m_fenced_at;  ///< earlier starts write below it
  /// Longest time for which an evacuation can have been unknown here.
  core::Duration m_evacuation_known_within{};
  uint64_t m_beats_read = 0;  ///< all records below it are known
  bool m_upstreams_known = false;
  bool m_first_beat_back = false;
  bool m_was_ready = false;
  bool m_was_active = false;
  uint32_t m_active_told = 0;
  double m_hold_told = 1;
  std::optional<core::TimePoint> m_leaving_since;
  std::optional<core::TimePoint> m_closing_since;
  bool m_last_claim_written = false;
  core::TimePoint m_last_request{};
  std::function<void()> m_on_drained;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_GATEWAY_H_
