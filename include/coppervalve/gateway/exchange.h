#ifndef COPPERVALVE_GATEWAY_EXCHANGE_H_
#define COPPERVALVE_GATEWAY_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>      // uint32_t
#include <functional>   // function
#include <memory>       // shared_ptr, enable_shared_from_this
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <vector>       // vector

#include "coppervalve/entry/admission.h"
#include "coppervalve/entry/allotment_book.h"
#include "coppervalve/entry/member_list.h"
#include "coppervalve/entry/peer_contact.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/policy.h"
#include "coppervalve/entry/prefill_time_estimator.h"
#include "coppervalve/entry/request_fingerprint.h"
#include "coppervalve/entry/retry_budget_share.h"
#include "coppervalve/entry/upstream_directory.h"
#include "coppervalve/entry/upstream_gate.h"
#include "coppervalve/gateway/caller_connection.h"
#include "coppervalve/gateway/crash_watch.h"
#include "coppervalve/gateway/dialect.h"
#include "coppervalve/gateway/event_log.h"
#include "coppervalve/gateway/gateway_metrics.h"
#include "coppervalve/gateway/unknown_words.h"
#include "coppervalve/gateway/upstream_pool.h"
#include "coppervalve/http1/event_cutter.h"

namespace coppervalve::gateway {

/// @brief What requests share; outlives all of them.
struct ExchangeContext {
  boost::asio::io_context& io;
  const Dialect& dialect;
  entry::UpstreamDirectory& directory;
  const entry::Policy& policy;
  const entry::UpstreamGate& gate;
  const entry::Placer& placer;
  entry::PrefillTimeEstimator& pace;
  entry::RetryBudgetShare& retries;
  entry::AllotmentBook& book;
  const entry::MemberList& members;
  const entry::PeerContact& peers;
  const entry::StoreContact& contact;
  UpstreamPool& pool;
  UnknownWords& unknown_words;
  CrashWatch& crashes;
  EventLog& log;
  GatewayMetrics& metrics;
  routing::RandomHook random;
  std::function<entry::ConfigurationView()> configuration;
  /// Asks for a higher ceiling soon; the exchange is told when it is there.
  std::function<void(std::function<void()> on_grant)> wait_for_grant;
  /// Asks other routers for tokens. @return false when there is nobody to ask
  std::function<
      bool(const core::AccountId&, core::Tokens, std::function<void()> on_done)>
      borrow;
  /// Time in which a request that comes now must have ended; none = no bound.
  std::function<std::optional<core::Duration>()> time_to_stop;
  /// Whether the table of upstreams is read here now.
  std::function<bool()> knows_upstreams;
  /// Asks routers that read it where a request goes.
  std::function<void(const entry::PlacementQuery&,
                     std::function<void(const entry::Placement&)> on_told)>
      ask_where;
};

/// @brief One request of a caller from its last byte to its final answer.
///
/// The point of no return is the first byte that the kernel takes for an
/// upstream: before it, and after a statement of the upstream that it did not
/// run, the request may be refused; after it an answer says nothing about it.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(const ExchangeContext& context,
           CallerRef caller,
           CallerRequest request);
  void Start();

 private:
  /// An attempt at one upstream.
  struct Attempt {
    entry::UpstreamRef upstream;
    UpstreamConnectionRef connection;
    core::TimePoint began;
    AnswerFacts answer;
    double reading = 0;        ///< its part of the upstream's in_prefill
    double total_prefill = 0;  ///< that and what waited, at usual pace
    double cost = 0;           ///< expected when it was placed
    bool passing_on = false;   ///< its bytes go to the caller
    bool resumed = false;
  };

  void Admit();
  void SetTokensAside();
  /// @brief Refuses the request when upstreams can't keep up. @return whether
  bool ShedIfOverloaded();
  void Reserve();
  core::Tokens Most() const { return m_facts.prompt + m_facts.max_output; }
  void WaitForGrant();
  bool TryGiven();
  bool TryBorrow();
  void OnBorrowed();
  void RefuseForWantOfTokens(core::TimePoint now);
  void OnGrant();
  void Place();
  entry::PlacementQuery Query() const;
  entry::Placement ChoosePlacement() const;
  void AskWhere();
  void OnTold(const entry::Placement& placement);
  void RefuseForWantOfUpstreams(const std::string& why);
  core::Duration NextWithinLimits(core::TimePoint now) const;
  void Send(const entry::Placement& placement);
  /// @brief The last question before bytes go out on a new connection.
  bool PassGate(entry::Upstream& upstream) const;
  std::string RequestText(const SendFacts& facts) const;

  void HeedUpstream();
  void HeedLimit(const entry::UpstreamRef& speaker);
  void TellUnknownWords(const core::UpstreamId& upstream);
  void OnHead(const http1::ResponseHead& head);
  void OnBody(const std::string& body);
  void OnEnd(AttemptEnd end, std::string_view why);
  void KeepConnection();
  void OnWhole();
  void OnBroken(std::string_view why);
  void OnDeclined();
  void PassOn(std::string_view bytes);
  void EndReading();
  void ForgetAnswer();
  void CutAttempt(entry::AttemptOutcome outcome);
  void LeaveUpstream(entry::AttemptOutcome outcome);

  entry::RequestContent Content() const;
  const entry::RequestFingerprint& Print();
  bool MayHaveEndedUpstreams() const;
  entry::QuarantineState StandingNow();
  /// @brief Refuses what upstreams ended under. @return whether
  bool RefuseIfItEndsUpstreams();
  void TellSurvived();
  bool IsStream() const;
  bool Repeatable() const;
  bool AfterAnEvent() const { return m_cutter.events() != 0; }
  /// @brief Whether another upstream may be sent this request; takes the
  /// right to from the allowance.
  bool TakeRepeat();

  void Refuse(const core::Error& error,
              std::optional<core::Duration> retry_after);
  void Fail(const core::Error& error);
  void OnCallerLeft();
  void Finish(std::string_view cause, int status);
  void Settle();

  void ArmTimer();
  void OnTimer();
  std::optional<core::TimePoint> WatchTime() const;
  core::Duration Left() const;

  const ExchangeContext& m_context;
  CallerRef m_caller;
  CallerRequest m_request;
  entry::RequestFacts m_facts;
  entry::Admitted m_admitted;
  boost::asio::steady_timer m_timer;
  core::TimePoint m_limit_at;
  core::Tokens m_reserved{};
  bool m_by_gift = false;  ///< reserved of what others gave
  bool m_borrowing = false;
  bool m_borrowed = false;  ///< asked others once
  std::optional<core::TimePoint> m_waiting_since;
  std::optional<core::TimePoint> m_wait_until;
  std::optional<Attempt> m_attempt;
  std::vector<core::UpstreamId> m_tried;
  std::optional<http1::ResponseHead> m_head;
  std::string m_body;
  http1::EventCutter m_cutter;
  core::TimePoint m_watch_from;  ///< silence of the upstream counts from here
  core::Duration m_first_byte{};
  uint32_t m_sends = 0;         ///< upstreams that got some of it
  uint32_t m_tries = 0;         ///< placements, sent or not
  bool m_may_have_run = false;  ///< at some upstream
  bool m_answer_begun = false;
  bool m_on_trial = false;  ///< holds the place of the one that is tried
  bool m_done = false;
  std::string m_last_failure;
  std::optional<entry::RequestFingerprint> m_print;  ///< once it was needed
  entry::Placement m_placed;                         ///< the last one
  /// Chosen before tokens were set aside, and good until anything was waited
  /// for.
  std::optional<entry::Placement> m_planned;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_EXCHANGE_H_
