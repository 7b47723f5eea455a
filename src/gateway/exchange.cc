#include "coppervalve/gateway/exchange.h"

#include <algorithm>  // clamp, min, max
#include <chrono>     // duration_cast
#include <utility>    // move, exchange

#include "come_back.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

using entry::RouteKind;

// Placements without a byte sent: an upstream that is gone costs a connection
// attempt each.
constexpr uint32_t kMostTries = 6;
constexpr core::Duration kGrantWait{400'000};
// Another router may have room sooner.
constexpr core::Duration kMostWaitForLimits{1'000'000};
constexpr int64_t kMicrosPerMilli = 1'000;

core::Duration RetryAfter(const core::Error& error) {
  switch (error.id) {
    case core::ErrorId::kNotReady:
    case core::ErrorId::kConfigurationStale:
      return kAfterReading;
    default:
      return kSoon;
  }
}

// Uniform in [0, 1).
double Fraction(const routing::RandomHook& random) {
  constexpr uint64_t kSteps = 1'000'000;
  return static_cast<double>(routing::UniformBelow(random, kSteps)) / kSteps;
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
  m_caller->WatchLeaving([self = shared_from_this()] { self->OnCallerLeft(); });
  Admit();
}

bool Exchange::IsStream() const {
  return m_admitted.route->kind == RouteKind::kStream;
}

bool Exchange::Repeatable() const {
  const entry::Route& route = *m_admitted.route;
  return route.kind == RouteKind::kIdempotent ||
         (route.kind == RouteKind::kStream && route.resumable);
}

core::Duration Exchange::Left() const {
  return m_limit_at - net::BootNow();
}

void Exchange::Admit() {
  const core::Result<entry::RequestFacts> facts =
      m_context.dialect.read_request(m_request.head);
  if (!core::IsOk(facts)) {
    Refuse(core::Failure(facts), std::nullopt);
    return;
  }
  m_facts = core::Value(facts);
  // A request that waited long to be read may come together with the end of its
  // connection: sent on, it would be run for nobody.
  if (m_caller->HasLeft()) {
    OnCallerLeft();
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
  const auto time_to_stop = m_context.time_to_stop();
  if (time_to_stop && m_admitted.limit > *time_to_stop) {
    // Taken now, it would be cut off when the process ends.
    Refuse({core::ErrorId::kDraining, "router", "leaving"}, kSoon);
    return;
  }
  m_limit_at = m_request.arrived + m_admitted.limit;
  if (RefuseIfItEndsUpstreams()) {
    return;
  }
  m_context.retries.OnRequest(m_admitted.service, m_request.arrived);
  if (ShedIfOverloaded()) {
    return;
  }
  ArmTimer();
  SetTokensAside();
}

bool Exchange::ShedIfOverloaded() {
  const entry::Service* service =
      m_admitted.configuration_index->FindService(m_admitted.service);
  if (service == nullptr || !service->engine || !m_context.knows_upstreams()) {
    return false;
  }
  m_planned = ChoosePlacement();
  entry::Backlog backlog;
  backlog.wait =
      m_context.pace.Estimate(m_admitted.service, m_planned->queued_prefill);
  backlog.objective = m_admitted.configuration_index->ObjectiveOf(
      m_admitted.service, m_admitted.route->priority);
  backlog.rank = m_admitted.route->priority;
  const std::optional<core::Duration> come_back = entry::Shed(
      m_context.policy.shedding, backlog, Fraction(m_context.random));
  if (!come_back) {
    return false;
  }
  m_placed = *m_planned;
  Refuse({core::ErrorId::kBacklogFull, m_admitted.service.value(),
          "work that waits for " +
              std::to_string(backlog.wait.count() / kMicrosPerMilli) + " ms"},
         come_back);
  return true;
}

void Exchange::SetTokensAside() {
  if (m_admitted.account == nullptr || Most() == core::Tokens(0)) {
    Place();
    return;
  }
  m_context.book.OnDemand(m_admitted.account->name, Most(), m_request.arrived,
                          m_admitted.route->priority);
  Reserve();
}

void Exchange::Reserve() {
  const core::AccountId& account = m_admitted.account->name;
  switch (m_context.book.Reserve(account, Most(), net::BootNow(),
                                 m_admitted.route->priority)) {
    case entry::Reservation::kHeld:
      m_reserved = Most();
      Place();
      return;
    case entry::Reservation::kUnlimited:
      Place();
      return;
    case entry::Reservation::kExhausted:
      if (TryGiven()) {
        return;
      }
      // The total may have grown by a configuration that this router missed.
      if (m_context.configuration().fresh) {
        Refuse({core::ErrorId::kBudgetExhausted, account.value(),
                "the rest does not cover the request"},
               std::nullopt);
        return;
      }
      Refuse({core::ErrorId::kBudgetBusy, account.value(),
              "the total may have grown"},
             kAfterACut);
      return;
    case entry::Reservation::kShort:
      WaitForGrant();
      return;
    case entry::Reservation::kLeftToUrgent:
      if (!TryGiven()) {
        Refuse({core::ErrorId::kBudgetBusy, account.value(),
                "left to more urgent requests"},
               kAfterACut);
      }
      return;
  }
}

void Exchange::WaitForGrant() {
  if (TryGiven()) {
    return;
  }
  const core::TimePoint now = net::BootNow();
  const bool waited_out = m_wait_until && now >= *m_wait_until;
  if (!m_context.contact.up() || waited_out ||
      !m_context.book.MayBeCovered(m_admitted.account->name, Most())) {
    if (!TryBorrow()) {
      RefuseForWantOfTokens(now);
    }
    return;
  }
  m_planned.reset();
  if (!m_wait_until) {
    m_waiting_since = now;
    m_wait_until = now + std::min(kGrantWait, m_admitted.limit / 4);
    ArmTimer();
  }
  m_context.wait_for_grant([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnGrant();
    }
  });
}

bool Exchange::TryGiven() {
  if (!m_context.book.ReserveGiven(m_admitted.account->name, Most())) {
    return false;
  }
  m_by_gift = true;
  m_reserved = Most();
  Place();
  return true;
}

// What this router can't claim may lie unused in the ceiling of another one.
bool Exchange::TryBorrow() {
  if (m_borrowed) {
    return false;
  }
  m_borrowed = true;
  m_planned.reset();
  m_borrowing = m_context.borrow(m_admitted.account->name, Most(),
                                 [weak = weak_from_this()] {
                                   if (const auto self = weak.lock()) {
                                     self->OnBorrowed();
                                   }
                                 });
  return m_borrowing;
}

void Exchange::OnBorrowed() {
  m_borrowing = false;
  if (m_done || m_reserved != core::Tokens(0)) {
    return;
  }
  if (!TryGiven()) {
    RefuseForWantOfTokens(net::BootNow());
  }
}

// A router that the store turned away hears from its peers whether they reach
// it: they can raise their ceilings, so its callers are served there. With
// nobody heard it can't tell, and says how long such a cut may last.
void Exchange::RefuseForWantOfTokens(core::TimePoint now) {
  const core::AccountId& account = m_admitted.account->name;
  core::Error error{core::ErrorId::kBudgetBusy, account.value(),
                    "others hold the rest"};
  if (m_context.contact.up()) {
    const auto figures = m_context.book.FiguresOf(account);
    if (figures.paced && figures.free >= Most()) {
      error.detail = "the rest is claimed slowly after a loss";
    }
    Refuse(error, kAfterReading);
    return;
  }
  const uint32_t active = m_context.members.Active();
  if (m_context.peers.OthersReachStore(active, now)) {
    error.detail = "the store turned this router away, others reach it";
    Refuse(error, kElsewhere);
    return;
  }
  const auto covered = m_context.book.CoveredAt(account, Most(), now);
  if (covered) {
    error.detail = "held back while the store may still answer";
    Refuse(error, std::max(*covered - now, kElsewhere));
    return;
  }
  error.detail = "the store can't be reached for more";
  Refuse(error, kAfterACut);
}

void Exchange::OnGrant() {
  if (m_done || m_attempt || m_reserved != core::Tokens(0) || m_sends != 0 ||
      m_borrowing) {
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
  if (RefuseIfItEndsUpstreams()) {
    return;
  }
  if (!m_planned && !m_context.knows_upstreams()) {
    AskWhere();
    return;
  }
  const entry::Placement placement =
      m_planned ? *std::exchange(m_planned, std::nullopt) : ChoosePlacement();
  m_placed = placement;
  if (placement.upstream == nullptr || ++m_tries > kMostTries) {
    const std::string why = m_last_failure.empty()
                                ? std::string(entry::ToString(placement.why))
                                : m_last_failure;
    if (m_may_have_run) {
      Fail({core::ErrorId::kUpstreamFailed, m_admitted.service.value(), why});
    } else {
      RefuseForWantOfUpstreams(why);
    }
    return;
  }
  Send(placement);
}

void Exchange::RefuseForWantOfUpstreams(const std::string& why) {
  const auto refuse = [this](const std::string& reason,
                             core::Duration come_back) {
    Refuse({core::ErrorId::kNoUpstream, m_admitted.service.value(), reason},
           come_back);
  };
  if (m_placed.why == entry::PlacementReason::kEvacuated) {
    refuse("all its failure domains are evacuated", kAfterACut);
    return;
  }
  if (m_placed.why == entry::PlacementReason::kWarmingUp) {
    refuse("those that are left are warming up", kAfterReading);
    return;
  }
  const core::TimePoint now = net::BootNow();
  if (m_placed.why == entry::PlacementReason::kLimited) {
    refuse("those that are left take no more for now", NextWithinLimits(now));
    return;
  }
  const auto hold = m_context.directory.AllPausedUntil(m_admitted.service, now);
  if (hold) {
    // The first pause to end says when to come.
    refuse("all upstreams asked for a pause", std::max(*hold - now, kSoon));
    return;
  }
  refuse(why, kSoon);
}

// Callers that all came back as the next request may go out would be refused
// again but for one, so their returns are spread.
core::Duration Exchange::NextWithinLimits(core::TimePoint now) const {
  const core::TimePoint next = m_context.gate.NextOfService(
      m_context.directory.Of(m_admitted.service), now);
  const core::Duration wait =
      std::clamp(next - now, kElsewhere, kMostWaitForLimits);
  const double spread = Fraction(m_context.random);
  return wait +
         std::chrono::duration_cast<core::Duration>(kAfterReading * spread);
}

entry::PlacementQuery Exchange::Query() const {
  const entry::Service* service =
      m_admitted.configuration_index->FindService(m_admitted.service);
  entry::PlacementQuery query;
  query.service = m_admitted.service;
  query.exclude = m_tried;
  query.engine = service != nullptr && service->engine.has_value();
  query.prompt = m_facts.prompt;
  query.routers = m_context.members.Active();
  if (m_admitted.route->prefix_affinity) {
    query.shared_prefix = m_facts.shared_prefix;
    query.shared_tokens = std::min(m_facts.shared_tokens, m_facts.prompt);
  }
  if (service != nullptr && service->max_connections != 0) {
    // The upstream resets what comes beyond its own bound, which all routers
    // share; a part stays free for routers that are not known yet.
    const uint32_t share =
        service->max_connections * 4 / 5 / m_context.members.Active();
    query.connection_bound = std::max(share, 2U);
  }
  return query;
}

entry::Placement Exchange::ChoosePlacement() const {
  return m_context.placer.Choose(m_context.directory, Query(), net::BootNow());
}

// What this router once read of the table may name upstreams that left since.
void Exchange::AskWhere() {
  if (++m_tries > kMostTries) {
    OnTold({});
    return;
  }
  m_context.ask_where(Query(),
                      [weak = weak_from_this()](const entry::Placement& told) {
                        const auto self = weak.lock();
                        if (self && !self->m_done) {
                          self->OnTold(told);
                        }
                      });
}

void Exchange::OnTold(const entry::Placement& placement) {
  m_placed = placement;
  if (placement.upstream) {
    Send(placement);
    return;
  }
  const core::Error error{core::ErrorId::kNotReady, "router",
                          "no router that knows the upstreams answered"};
  if (m_may_have_run) {
    Fail({core::ErrorId::kUpstreamFailed, m_admitted.service.value(),
          m_last_failure});
  } else {
    Refuse(error, kElsewhere);
  }
}

}  // namespace coppervalve::gateway
