#ifndef COPPERVALVE_GATEWAY_EXCHANGE_H_
#define COPPERVALVE_GATEWAY_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>      // size_t
#include <cstdint>      // uint32_t, uint64_t
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/entry/admission.h"
#include "coppervalve/entry/allocation_ledger.h"
#include "coppervalve/entry/member_list.h"
#include "coppervalve/entry/peer_contact.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/policy.h"
#include "coppervalve/entry/prefill_time_estimator.h"
#include "coppervalve/entry/relay_refusals.h"
#include "coppervalve/entry/request_fingerprint.h"
#include "coppervalve/entry/retry_budget_share.h"
#include "coppervalve/entry/stream_versions.h"
#include "coppervalve/entry/topic_age.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/upstream_gate.h"
#include "coppervalve/gateway/caller_connection.h"
#include "coppervalve/gateway/crash_monitor.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/gateway_metrics.h"
#include "coppervalve/gateway/platform_adapter.h"
#include "coppervalve/gateway/reach_monitor.h"
#include "coppervalve/gateway/unknown_headers.h"
#include "coppervalve/gateway/upstream_pool.h"
#include "coppervalve/http1/sse_splitter.h"

namespace coppervalve::gateway {

/// @brief The version at which a stream may be resumed. Without one, the
/// request is refused, unless other routers may know that there is only one.
struct StreamResumption {
  entry::ResumeVersion version;
  bool ask_peers = false;
  core::Duration retry_after{};
};

/// @brief Objects that all exchanges share; outlives them.
struct ExchangeContext {
  boost::asio::io_context& io;
  const PlatformAdapter& adapter;
  entry::UpstreamDirectory& directory;
  const entry::Policy& policy;
  const entry::UpstreamGate& gate;
  entry::Placer& placer;
  entry::PrefillTimeEstimator& pace;
  entry::RetryBudgetShare& retries;
  entry::AllocationLedger& book;
  const entry::MemberList& members;
  const entry::PeerContact& peers;
  const entry::StoreContact& contact;
  const entry::TopicAge& table_age;  ///< of the table of upstreams
  core::Duration max_table_age{};    ///< beyond which it is outdated
  UpstreamPool& pool;
  UnknownHeaders& unknown_headers;
  CrashMonitor& crash_monitor;
  ReachMonitor& reach;
  EventLog& log;
  GatewayMetrics& metrics;
  routing::RandomSource random;
  std::function<entry::ConfigurationView()> configuration;
  /// Requests a higher ceiling; calls the handler when it is granted.
  std::function<void(std::function<void()> on_grant)> wait_for_grant;
  /// Requests tokens from other routers. @return false if no request was made
  std::function<
      bool(const core::AccountId&, core::Tokens, std::function<void()> on_done)>
      request_transfer;
  /// Time within which a request that arrives now must end, because the router
  /// drains; none: no limit.
  std::function<std::optional<core::Duration>()> time_until_shutdown;
  /// Whether this router currently reads the table of upstreams.
  std::function<bool()> has_upstream_table;
  /// Requests a placement from routers that read the table.
  std::function<void(const entry::PlacementQuery&,
                     std::function<void(const entry::Placement&)> on_placement)>
      request_placement;
  /// The first event of a stream is sent to its caller.
  std::function<void(const entry::StreamStart&)> on_stream_start;
  /// Finds out at which version a stream may be resumed. The handler may be
  /// called from within this call.
  std::function<void(entry::StreamKey,
                     const core::ServiceId&,
                     std::function<void(const StreamResumption&)> on_resolved)>
      resolve_stream;
};

/// @brief Processes one request of a caller, from the complete request to the
/// end of its response.
///
/// Once the kernel has taken a byte for an upstream, the request may have run.
/// Before that, or if the upstream states that it did not run the request, it
/// may be refused as "not run"; afterwards an error response leaves open
/// whether it ran.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const ExchangeContext& context,
           CallerRef caller,
           CallerRequest request);
  void Start();

 private:
  /// One attempt to run the request at an upstream.
  struct Attempt {
    entry::UpstreamRef upstream;
    core::UpstreamVersion version;  ///< of the upstream when it was chosen
    UpstreamConnectionRef connection;
    std::string relay;  ///< router through which it is opened; empty: directly
    bool opening = false;
    core::TimePoint started_at;
    std::optional<core::TimePoint> first_event_at;
    UpstreamResponseInfo answer;
    double prefill_cost = 0;     ///< its part of the upstream's in_prefill
    double total_prefill = 0;    ///< that and the work queued before it
    double cost = 0;             ///< expected cost at placement
    bool events = false;         ///< the body is a stream of events
    bool forwarding = false;     ///< the response is sent to the caller
    bool end_checked = false;    ///< the upstream did not crash at its end
    bool end_confirmed = false;  ///< it accepted a connection afterwards
    bool ends_with_connection = false;  ///< the response
    bool resumed = false;
    /// The body is read until then, and not forwarded.
    std::optional<core::TimePoint> discard_until;
    size_t discarded = 0;  ///< bytes of it
  };

  void Admit();
  void ResolveStream();
  void OnStreamResolved(const StreamResumption& resumption);
  void StartPlacement();
  void StartReservation();
  /// @brief Refuses the request if the upstreams are overloaded.
  /// @return whether it was refused
  bool RefuseIfOverloaded();
  void Reserve();
  core::Tokens MaxTokens() const { return m_facts.prompt + m_facts.max_output; }
  void WaitForGrant();
  bool TryReserveTransferred();
  bool TryRequestTransfer();
  void OnTransferFinished();
  void RefuseForLackOfTokens(core::TimePoint now);
  void OnGrant();
  void Place();
  /// @brief Whether this router's table of upstreams is the one to use.
  bool PlacesItself() const;
  void PlaceFromOwnTable();
  /// @return whether the request may be placed once more
  bool TakePlacement();
  entry::PlacementQuery BuildQuery() const;
  entry::Placement ChoosePlacement() const;
  void RequestPlacement();
  bool MayRun(const core::UpstreamVersion& version) const;
  void UseListedUpstream(entry::Placement& placement) const;
  void OnPlacementReply(entry::Placement placement);
  void EndWithoutUpstream(const std::string& why);
  void RefuseForLackOfUpstreams(const std::string& why);
  core::Duration RateLimitRetryDelay(core::TimePoint now) const;
  void Send(const entry::Placement& placement);
  void Connect(const entry::UpstreamRef& upstream, core::TimePoint now);
  /// @brief Checks again, before bytes are sent on a new connection, whether
  /// the upstream may get the request. Records the send if so.
  bool MaySendNow(entry::Upstream& upstream);
  std::string RequestText(const UpstreamRequestContext& facts) const;

  void HandleUpstreamSignals();
  void HandleRateLimit(const entry::UpstreamRef& sender);
  void HandleBrittleness(const entry::UpstreamRef& sender);
  void LogUnknownHeaders(const core::UpstreamId& upstream);
  void OnHead(const http1::ResponseHead& head);
  void OnBody(const std::string& body);
  void OnEventBytes(const std::string& body);
  void EndDiscarded();
  void ForwardEvents(const std::string& events);
  void OnEnd(AttemptEnd end, std::string_view why);
  void OnNotSent(AttemptEnd end, std::string_view why);
  entry::AttemptOutcome OnDirectConnectFailed();
  entry::AttemptOutcome OnRelayedConnectFailed();
  /// @brief Whether a response that seems complete is a stream that was cut.
  bool IsCutStream() const;
  /// @brief Whether only the end of the connection shows that the response is
  /// complete, and the upstream may have crashed.
  bool IsEndInDoubt() const;
  void CheckEnd();
  /// @brief Whether another upstream was listed at the address since the
  /// attempt started.
  bool WasReplaced() const;
  void ReturnConnection();
  void OnComplete();
  void OnBroken(std::string_view why);
  void OnDeclined();
  // Sends the upstream's head to the caller. `length` is that of the body;
  // none: chunked transfer encoding.
  void BeginResponse(std::optional<uint64_t> length);
  void ForwardToCaller(std::string_view bytes);
  void EndPrefill();
  void DiscardResponse();
  void UpdateBuffered();
  bool MayHold(size_t unfinished);
  void AbortAttempt(entry::AttemptOutcome outcome);
  /// @brief Ends the attempt, if there is one, without an outcome: its upstream
  /// is not to blame.
  void DropAttempt();
  void RecordOutcome(entry::AttemptOutcome outcome);

  entry::RequestContent Content() const;
  const entry::RequestFingerprint& Fingerprint();
  const std::vector<uint64_t>& PartHashes();
  entry::RequestTraits Traits();
  bool MayHaveCrashedUpstreams();
  entry::Suspicion CurrentSuspicion();
  /// @brief Refuses a request that crashed upstreams.
  /// @return whether it was refused
  bool RefuseIfCrashesUpstreams();
  void ReportBroken();
  /// @brief Whether the complete response shows that the request crashes no
  /// upstream.
  bool ProvesHarmless() const;
  void ReportCompleted();
  bool IsStream() const;
  /// @brief Whether the caller resumes a stream of an earlier request.
  bool ResumesStream() const;
  entry::StreamKey StreamId() const;
  bool Retryable() const;
  bool HasEvents() const { return m_sse_splitter.events() != 0; }
  /// @brief Consumes one retry of the retry allowance.
  /// @return whether the request may be sent to another upstream
  bool TakeRetry();

  void Refuse(const core::Error& error,
              std::optional<core::Duration> retry_after);
  void Fail(const core::Error& error);
  void OnCallerDisconnected();
  /// @brief Whether the process is about to end.
  bool IsShuttingDown() const;
  void OnDrainEnd(DrainEnd step);
  void EndForDrain();
  void Finish(std::string_view cause, int status);
  void DescribeAdmission(LogLine& line) const;
  void DescribeAttempts(LogLine& line) const;
  void DescribeResponse(LogLine& line) const;
  void Settle();

  void ArmTimer();
  void OnTimer();
  std::optional<core::TimePoint> UpstreamTimeoutAt() const;
  core::Duration TimeLeft() const;

  static constexpr int kServerError = 500;  ///< lowest such status

  const ExchangeContext& m_context;
  CallerRef m_caller;
  CallerRequest m_request;
  entry::RequestFacts m_facts;
  entry::Admitted m_admitted;
  boost::asio::steady_timer m_timer;
  core::TimePoint m_deadline;
  core::Tokens m_reserved{};
  bool m_from_transfer = false;  ///< reserved from tokens of other routers
  bool m_transfer_pending = false;
  bool m_transfer_requested =
      false;  ///< tokens were requested from other routers
  std::optional<core::TimePoint> m_waiting_since;
  std::optional<core::TimePoint> m_wait_until;
  std::optional<Attempt> m_attempt;
  std::vector<core::UpstreamId> m_tried;
  std::vector<core::UpstreamId> m_sent_to;  ///< those that got bytes
  std::string m_last_relay;  ///< of the latest attempt; empty: none
  entry::RelayRefusals m_relay_refusals;
  std::optional<http1::ResponseHead> m_head;
  std::string m_body;
  size_t m_held_by_connection = 0;  ///< bytes of an unfinished response
  http1::SseSplitter m_sse_splitter;
  /// Software versions of the upstreams whose events were sent to the caller.
  std::vector<core::UpstreamVersion> m_event_versions;
  /// The version at which the stream started, once that is known.
  std::optional<core::UpstreamVersion> m_stream_version;
  bool m_sole_version_only = false;
  /// Bytes after the last whole event when the latest attempt ended.
  size_t m_unfinished_event = 0;
  core::TimePoint m_last_activity;  ///< start of the upstream's timeout
  core::Duration m_first_byte{};
  uint32_t m_sent_attempts = 0;        ///< attempts of which bytes were sent
  uint32_t m_placements = 0;           ///< placements, sent or not
  core::Duration m_time_connecting{};  ///< connections that failed
  bool m_may_have_run = false;         ///< at any upstream
  bool m_response_begun = false;
  bool m_done = false;
  std::string m_last_failure;
  std::optional<entry::RequestFingerprint>
      m_fingerprint;                    ///< computed on first use
  std::vector<uint64_t> m_part_hashes;  ///< likewise
  /// The trait whose trial slot the request occupies.
  std::optional<entry::RequestFingerprint> m_trial;
  entry::Placement m_last_placement;  ///< the latest one
  /// Chosen before tokens were reserved; valid until the request has to wait.
  std::optional<entry::Placement> m_prepared_placement;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_EXCHANGE_H_
