#include "coppervalve/gateway/exchange.h"

#include <algorithm>  // clamp, min, max
#include <chrono>     // duration_cast
#include <utility>    // move, exchange

#include "coppervalve/net/clock.h"
#include "relay_protocol.h"
#include "retry_after.h"

namespace coppervalve::gateway {

namespace {

using entry::RouteKind;

// Limit of placements, including those without a byte sent: most upstreams of a
// service may be gone at once.
constexpr uint32_t kMaxPlacements = 16;
// Limit of the time for connections that fail: they may hang.
constexpr core::Duration kMaxTimeConnecting = 6 * kUpstreamConnectTimeout;
constexpr core::Duration kMaxGrantWait{400'000};
// Upper limit of the Retry-After of a rate-limited request, before jitter:
// another router may have capacity sooner.
constexpr core::Duration kMaxRateLimitWait{1'000'000};
constexpr int64_t kMicrosPerMilli = 1'000;

core::Duration RetryAfter(const core::Error& error) {
  switch (error.id) {
    case core::ErrorId::kNotReady:
    case core::ErrorId::kConfigurationStale:
      return kRetryAfterStoreUpdate;
    default:
      return kRetrySoon;
  }
}

}  // namespace

Exchange::Exchange(const ExchangeContext& context,
                   CallerRef caller,
                   CallerRequest request)
    : m_context(context),
      m_caller(std::move(caller)),
      m_request(std::move(request)),
      m_timer(context.io) {}

void Exchange::Start() {
  m_caller->SetDisconnectHandler(
      [self = shared_from_this()] { self->OnCallerDisconnected(); });
  m_caller->SetDrainEndHandler([weak = weak_from_this()](DrainEnd step) {
    if (const auto self = weak.lock()) {
      self->OnDrainEnd(step);
    }
  });
  Admit();
}

bool Exchange::IsStream() const {
  return m_admitted.route->kind == RouteKind::kStream;
}

bool Exchange::ResumesStream() const {
  return IsStream() && !m_facts.resume_after.empty();
}

entry::StreamKey Exchange::StreamId() const {
  const bool resumes = ResumesStream() && !m_facts.resumes.empty();
  return entry::StreamKeyOf(m_admitted.account != nullptr
                                ? m_admitted.account->name
                                : core::AccountId(),
                            resumes ? m_facts.resumes : m_facts.id);
}

bool Exchange::Retryable() const {
  const entry::Route& route = *m_admitted.route;
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

core::Duration Exchange::TimeLeft() const {
  return m_deadline - net::BootNow();
}

void Exchange::Admit() {
  const core::Result<entry::RequestFacts> facts =
      m_context.adapter.read_request(m_request.head);
  if (!core::IsOk(facts)) {
    Refuse(core::Failure(facts), std::nullopt);
    return;
  }
  m_facts = core::Value(facts);
  // A request that waited long to be read may be read together with the end of
  // its connection. Its response could not be delivered.
  if (m_caller->HasDisconnected()) {
    OnCallerDisconnected();
    return;
  }
  core::Result<entry::Admitted> admitted =
      entry::Admit(m_context.configuration(), m_facts, m_context.random());
  if (!core::IsOk(admitted)) {
    const core::Error& error = core::Failure(admitted);
    Refuse(error, RetryAfter(error));
    return;
  }
  m_admitted = core::TakeValue(std::move(admitted));
  const auto time_until_shutdown = m_context.time_until_shutdown();
  if (time_until_shutdown && m_admitted.limit > *time_until_shutdown) {
    // The process would end before the request completes.
    Refuse({core::ErrorId::kDraining, "router", "shutting down"}, kRetrySoon);
    return;
  }
  m_deadline = m_request.arrived + m_admitted.limit;
  if (RefuseIfCrashesUpstreams()) {
    return;
  }
  m_context.retries.OnRequest(m_admitted.service, m_request.arrived);
  if (ResumesStream()) {
    ResolveStream();
    return;
  }
  StartPlacement();
}

void Exchange::StartPlacement() {
  if (RefuseIfOverloaded()) {
    return;
  }
  ArmTimer();
  StartReservation();
}

// What two software versions write does not fit together, and upstreams do not
// check that.
void Exchange::ResolveStream() {
  ArmTimer();
  m_context.resolve_stream(
      StreamId(), m_admitted.service,
      [weak = weak_from_this()](const StreamResumption& resumption) {
        const auto self = weak.lock();
        if (self && !self->m_done) {
          self->OnStreamResolved(resumption);
        }
      });
}

void Exchange::OnStreamResolved(const StreamResumption& resumption) {
  m_stream_version = resumption.version.version;
  m_sole_version_only = !m_stream_version && resumption.ask_peers;
  if (!m_stream_version && !m_sole_version_only) {
    Refuse({core::ErrorId::kStreamVersionUnknown, m_admitted.service.value(),
            std::string(resumption.version.why)},
           resumption.retry_after);
    return;
  }
  StartPlacement();
}

bool Exchange::RefuseIfOverloaded() {
  const entry::Service* service =
      m_admitted.configuration_index->FindService(m_admitted.service);
  if (service == nullptr || !service->engine || !PlacesItself()) {
    return false;
  }
  m_prepared_placement = ChoosePlacement();
  entry::Backlog backlog;
  backlog.wait = m_context.pace.Estimate(m_admitted.service,
                                         m_prepared_placement->queued_prefill);
  backlog.objective = m_admitted.configuration_index->ObjectiveOf(
      m_admitted.service, m_admitted.route->priority);
  backlog.rank = m_admitted.route->priority;
  const std::optional<core::Duration> retry_delay =
      entry::Shed(m_context.policy.shedding, backlog,
                  routing::UniformFraction(m_context.random));
  if (!retry_delay) {
    return false;
  }
  m_last_placement = *m_prepared_placement;
  Refuse({core::ErrorId::kBacklogFull, m_admitted.service.value(),
          "estimated queueing delay of " +
              std::to_string(backlog.wait.count() / kMicrosPerMilli) + " ms"},
         retry_delay);
  return true;
}

void Exchange::StartReservation() {
  if (m_admitted.account == nullptr || MaxTokens() == core::Tokens(0)) {
    Place();
    return;
  }
  m_context.book.OnDemand(m_admitted.account->name, MaxTokens(),
                          m_request.arrived, m_admitted.route->priority);
  Reserve();
}

void Exchange::Reserve() {
  const core::AccountId& account = m_admitted.account->name;
  switch (m_context.book.Reserve(account, MaxTokens(), net::BootNow(),
                                 m_admitted.route->priority)) {
    case entry::ReserveResult::kReserved:
      m_reserved = MaxTokens();
      Place();
      return;
    case entry::ReserveResult::kUnlimited:
      Place();
      return;
    case entry::ReserveResult::kExhausted:
      if (TryReserveTransferred()) {
        return;
      }
      // A configuration that this router has not read may have raised the
      // total.
      if (m_context.configuration().fresh) {
        Refuse({core::ErrorId::kBudgetExhausted, account.value(),
                "the rest does not cover the request"},
               std::nullopt);
        return;
      }
      Refuse({core::ErrorId::kBudgetBusy, account.value(),
              "a newer configuration may have raised the total"},
             kRetryAfterOutage);
      return;
    case entry::ReserveResult::kAboveCeiling:
      WaitForGrant();
      return;
    case entry::ReserveResult::kKeptForUrgent:
      if (!TryReserveTransferred()) {
        Refuse({core::ErrorId::kBudgetBusy, account.value(),
                "left to more urgent requests"},
               kRetryAfterOutage);
      }
      return;
  }
}

void Exchange::WaitForGrant() {
  if (TryReserveTransferred()) {
    return;
  }
  const core::TimePoint now = net::BootNow();
  const bool wait_expired = m_wait_until && now >= *m_wait_until;
  if (!m_context.contact.up() || wait_expired ||
      !m_context.book.MayBecomeSpendable(m_admitted.account->name,
                                         MaxTokens())) {
    if (!TryRequestTransfer()) {
      RefuseForLackOfTokens(now);
    }
    return;
  }
  m_prepared_placement.reset();
  if (!m_wait_until) {
    m_waiting_since = now;
    m_wait_until = now + std::min(kMaxGrantWait, m_admitted.limit / 4);
    ArmTimer();
  }
  m_context.wait_for_grant([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnGrant();
    }
  });
}

bool Exchange::TryReserveTransferred() {
  if (!m_context.book.ReserveTransferred(m_admitted.account->name,
                                         MaxTokens())) {
    return false;
  }
  m_from_transfer = true;
  m_reserved = MaxTokens();
  Place();
  return true;
}

// Tokens that this router can't claim may be unused in another router's
// ceiling.
bool Exchange::TryRequestTransfer() {
  if (m_transfer_requested) {
    return false;
  }
  m_transfer_requested = true;
  m_prepared_placement.reset();
  m_transfer_pending = m_context.request_transfer(
      m_admitted.account->name, MaxTokens(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnTransferFinished();
        }
      });
  return m_transfer_pending;
}

void Exchange::OnTransferFinished() {
  m_transfer_pending = false;
  if (m_done || m_reserved != core::Tokens(0)) {
    return;
  }
  if (!TryReserveTransferred()) {
    RefuseForLackOfTokens(net::BootNow());
  }
}

// The load reports of peers state whether they can reach the store. If they can
// while this router can't, they can raise their ceilings and serve its callers.
// Without such reports the stated delay is the time until held-back tokens
// become spendable, or else the expected length of a store outage.
void Exchange::RefuseForLackOfTokens(core::TimePoint now) {
  const core::AccountId& account = m_admitted.account->name;
  core::Error error{core::ErrorId::kBudgetBusy, account.value(),
                    "other routers hold the remaining tokens"};
  if (m_context.contact.up()) {
    const auto figures = m_context.book.FiguresOf(account);
    if (figures.rationed && figures.free >= MaxTokens()) {
      error.detail = "the rest is claimed slowly after a loss";
    }
    Refuse(error, kRetryAfterStoreUpdate);
    return;
  }
  const uint32_t active = m_context.members.ActiveCount();
  if (m_context.peers.OthersReachStore(active, now)) {
    error.detail = "only other routers can reach the store";
    Refuse(error, kRetryElsewhere);
    return;
  }
  const auto covered = m_context.book.SpendableAt(account, MaxTokens(), now);
  if (covered) {
    error.detail = "tokens are held back while the store may still respond";
    Refuse(error, std::max(*covered - now, kRetryElsewhere));
    return;
  }
  error.detail = "the store can't be reached for more";
  Refuse(error, kRetryAfterOutage);
}

void Exchange::OnGrant() {
  if (m_done || m_attempt || m_reserved != core::Tokens(0) ||
      m_sent_attempts != 0 || m_transfer_pending) {
    return;
  }
  Reserve();
}

void Exchange::Place() {
  if (m_waiting_since) {
    m_context.metrics.OnGrantWait(net::BootNow() - *m_waiting_since);
    m_waiting_since.reset();
    m_wait_until.reset();
  }
  // There is no time left for an answer.
  if (IsShuttingDown() && !m_response_begun) {
    EndForDrain();
    return;
  }
  if (RefuseIfCrashesUpstreams()) {
    return;
  }
  if (m_prepared_placement || PlacesItself()) {
    PlaceFromOwnTable();
  } else {
    RequestPlacement();
  }
}

// Configurations and heartbeats may arrive in time while reads of the much
// larger table time out. Another router may have a current one.
bool Exchange::PlacesItself() const {
  if (!m_context.has_upstream_table()) {
    return false;
  }
  const core::TimePoint now = net::BootNow();
  return m_context.table_age.At(now) <= m_context.max_table_age ||
         m_context.peers.CountReachingStore(now) == 0;
}

void Exchange::PlaceFromOwnTable() {
  const entry::Placement placement =
      m_prepared_placement ? *std::exchange(m_prepared_placement, std::nullopt)
                           : ChoosePlacement();
  m_last_placement = placement;
  if (placement.upstream == nullptr || !TakePlacement()) {
    const std::string why = m_last_failure.empty()
                                ? std::string(entry::ToString(placement.why))
                                : m_last_failure;
    EndWithoutUpstream(why);
    return;
  }
  Send(placement);
}

void Exchange::EndWithoutUpstream(const std::string& why) {
  if (m_may_have_run) {
    Fail({core::ErrorId::kUpstreamFailed, m_admitted.service.value(), why});
  } else {
    RefuseForLackOfUpstreams(why);
  }
}

void Exchange::RefuseForLackOfUpstreams(const std::string& why) {
  const auto refuse = [this](const std::string& reason,
                             core::Duration retry_delay) {
    Refuse({core::ErrorId::kNoUpstream, m_admitted.service.value(), reason},
           retry_delay);
  };
  if (m_last_placement.why == entry::PlacementReason::kEvacuated) {
    refuse("all its failure domains are evacuated", kRetryAfterOutage);
    return;
  }
  if (m_last_placement.why == entry::PlacementReason::kWarmingUp) {
    refuse("those that are left are warming up", kRetryAfterStoreUpdate);
    return;
  }
  if (m_last_placement.why == entry::PlacementReason::kOtherVersion) {
    refuse("none has the stream's version", kRetryAfterStoreUpdate);
    return;
  }
  const core::TimePoint now = net::BootNow();
  if (m_last_placement.why == entry::PlacementReason::kLimited) {
    refuse("those that are left take no more for now",
           RateLimitRetryDelay(now));
    return;
  }
  const auto hold = m_context.directory.AllPausedUntil(m_admitted.service, now);
  if (hold) {
    // The caller should retry when the first pause ends.
    refuse("all upstreams asked for a pause",
           std::max(*hold - now, kRetrySoon));
    return;
  }
  refuse(why, kRetrySoon);
}

// Adds jitter: if all refused callers retried when the limit admits the next
// request, all but one would be refused again.
core::Duration Exchange::RateLimitRetryDelay(core::TimePoint now) const {
  const core::TimePoint next = m_context.gate.NextOfService(
      m_context.directory.Of(m_admitted.service), now);
  const core::Duration wait =
      std::clamp(next - now, kRetryElsewhere, kMaxRateLimitWait);
  const double spread = routing::UniformFraction(m_context.random);
  return wait + std::chrono::duration_cast<core::Duration>(
                    kRetryAfterStoreUpdate * spread);
}

entry::PlacementQuery Exchange::BuildQuery() const {
  const entry::Service* service =
      m_admitted.configuration_index->FindService(m_admitted.service);
  entry::PlacementQuery query;
  query.service = m_admitted.service;
  query.exclude = m_tried;
  query.version = m_stream_version;
  query.sole_version_only = m_sole_version_only;
  query.engine = service != nullptr && service->engine.has_value();
  query.prompt = m_facts.prompt;
  query.routers = m_context.members.ActiveCount();
  if (m_admitted.route->prefix_affinity) {
    query.shared_prefix = m_facts.shared_prefix;
    query.shared_tokens = std::min(m_facts.shared_tokens, m_facts.prompt);
  }
  if (service != nullptr && service->max_connections != 0) {
    // The upstream resets connections beyond its limit, which all routers
    // share. A fifth of it is left for routers whose heartbeats have not been
    // read yet.
    const uint32_t share =
        service->max_connections * 4 / 5 / m_context.members.ActiveCount();
    query.connection_bound = std::max(share, 2U);
  }
  return query;
}

bool Exchange::TakePlacement() {
  return ++m_placements <= kMaxPlacements &&
         m_time_connecting < kMaxTimeConnecting;
}

entry::Placement Exchange::ChoosePlacement() const {
  const core::TimePoint now = net::BootNow();
  entry::Placement placement =
      m_context.placer.Choose(m_context.directory, BuildQuery(), now);
  placement.table.age = m_context.table_age.At(now);
  return placement;
}

// Used when this router does not follow the table, or its copy is outdated: it
// may name upstreams that have left since.
void Exchange::RequestPlacement() {
  if (!TakePlacement()) {
    OnPlacementReply({});
    return;
  }
  m_context.request_placement(
      BuildQuery(),
      [weak = weak_from_this()](const entry::Placement& placement) {
        const auto self = weak.lock();
        if (self && !self->m_done) {
          self->OnPlacementReply(placement);
        }
      });
}

// A router of an earlier release ignores the version in the query, and names
// none in its reply.
bool Exchange::MayRun(const core::UpstreamVersion& version) const {
  if (m_stream_version) {
    return version == *m_stream_version;
  }
  return !m_sole_version_only || !version.empty();
}

// An upstream that is listed here keeps its state: connections, health, and the
// load that is reported to other routers.
void Exchange::UseListedUpstream(entry::Placement& placement) const {
  const entry::UpstreamEntry& told = placement.upstream->entry;
  const entry::UpstreamRef listed = m_context.directory.Find(told.id);
  if (listed && listed->entry.address == told.address &&
      listed->entry.version == told.version) {
    placement.upstream = listed;
  }
}

void Exchange::OnPlacementReply(entry::Placement placement) {
  if (placement.upstream && m_context.has_upstream_table()) {
    UseListedUpstream(placement);
  }
  m_last_placement = placement;
  if (placement.upstream && !placement.upstream->entry.leaving &&
      MayRun(placement.upstream->entry.version)) {
    m_context.metrics.OnPeerPlacement(placement.table.outdated);
    Send(placement);
    return;
  }
  if (m_context.has_upstream_table()) {
    PlaceFromOwnTable();
    return;
  }
  const core::Error error{
      core::ErrorId::kNotReady, "router",
      "no router with a current table of upstreams answered"};
  if (m_may_have_run) {
    Fail({core::ErrorId::kUpstreamFailed, m_admitted.service.value(),
          m_last_failure});
  } else {
    Refuse(error, kRetryElsewhere);
  }
}

}  // namespace coppervalve::gateway
