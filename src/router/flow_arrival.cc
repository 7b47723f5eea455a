#include <algorithm>  // max, min
#include <utility>    // move
#include <variant>    // get_if, visit

#include "coppervalve/router/detail/json_reply.h"
#include "coppervalve/router/detail/request_flow.h"

namespace coppervalve::router::detail {

using core::Error;
using core::ErrorId;
using core::RequestId;
using core::TimePoint;
using core::Tokens;

namespace {

/// A prompt never has more tokens than bytes. Roles and separators of a chat
/// add a few tokens per message, fewer than the JSON syntax of the body has
/// bytes.
constexpr Tokens kFramingAllowance{64};

/// Maximum age of the last read to the end of the log for the fold to count as
/// current.
constexpr core::Duration kMaxFoldAge = std::chrono::seconds(3);

constexpr core::Duration kRetryElsewhere = std::chrono::milliseconds(100);
constexpr core::Duration kRetryAfterBacklog = std::chrono::seconds(2);

/// Claims of callers leave this much of the log's backlog to the router's own
/// records: those of its budgets, which need kMaxRecordsPerTake, and its
/// retirement, drain and reports about peers, which would otherwise be dropped.
constexpr size_t kRoomForOwnRecords = 2 * budget::kMaxRecordsPerTake;

}  // namespace

RequestFlow::RequestFlow(FlowDependencies dependencies)
    : m_dependencies(dependencies),
      m_table(
          {dependencies.settings.router, dependencies.incarnation},
          {[this](const request::Origin& origin) {
             return m_dependencies.peers.Locate(m_now, origin,
                                                m_dependencies.log.fold());
           },
           [this](const core::Hash128& key) {
             return m_dependencies.peers.OwnerOf(m_now, key);
           },
           [this](const core::Hash128& key) -> std::optional<request::Origin> {
             const ledger::Claim* claim =
                 m_dependencies.log.fold().FindClaim(key);
             if (claim == nullptr) {
               return std::nullopt;
             }
             return request::Origin{claim->router, claim->incarnation};
           }}),
      m_upstreams({}, dependencies.hooks.random),
      m_placement({},
                  routing::DefaultPolicy(dependencies.hooks.random),
                  dependencies.hooks.random,
                  dependencies.settings.failure_domain),
      m_queue({}, dependencies.hooks.random),
      m_retries({}, dependencies.hooks.random) {}

void RequestFlow::OnConfigured() {
  const config::Tables& tables = m_dependencies.configured.tables();
  std::vector<routing::UpstreamInfo> upstreams;
  std::vector<core::UpstreamId> ids;
  for (const config::Upstream& from : tables.upstreams()) {
    upstreams.push_back({from.id, from.address, from.kind, from.failure_domain,
                         from.models, from.service, from.max_concurrency,
                         from.checks_fencing, from.repeatable});
    ids.push_back(from.id);
  }
  m_upstreams.SetUpstreams(upstreams);
  m_retries.RetainUpstreams(ids);

  std::vector<routing::AccountLimit> limits;
  for (const config::Account& account : tables.accounts()) {
    limits.push_back({account.id, account.requests_per_second, account.burst});
  }
  m_limiter.SetLimits(limits);
  m_queue.SetCapacity(tables.limits().queue_capacity);
  m_table.SetAnswerKeep(tables.limits().answer_keep);
}

core::Result<const config::Account*> RequestFlow::Authenticate(
    const std::string& api_key,
    const std::optional<core::AccountId>& forwarded) const {
  const config::Tables& tables = m_dependencies.configured.tables();
  const config::Account* account =
      forwarded.has_value() ? tables.FindAccount(*forwarded)
                            : tables.FindAccountByKey(core::Sha256Hex(api_key));
  if (account == nullptr) {
    return Error{ErrorId::kUnauthorized, "authorization",
                 "no client account has this API key"};
  }
  return account;
}

bool RequestFlow::FoldIsCurrent(TimePoint now) const {
  const auto read = m_dependencies.log.last_read_to_end();
  return read.has_value() && now - *read <= kMaxFoldAge;
}

void RequestFlow::OnArrived(TimePoint now,
                            const RequestArrived& event,
                            const std::optional<Error>& closed) {
  m_now = now;
  std::optional<request::KeyName> key;
  if (!event.idempotency_key.empty()) {
    const auto parsed = request::KeyName::Parse(event.idempotency_key);
    if (!core::IsOk(parsed)) {
      RefuseImmediately(event.request, core::Failure(parsed), std::nullopt);
      return;
    }
    key = core::Value(parsed);
  }
  std::optional<Work> work = Classify(now, event, key, closed);
  if (!work.has_value()) {
    return;
  }
  request::Arrival arrival;
  arrival.id = event.request;
  arrival.account = work->account;
  arrival.key = key;
  if (key.has_value()) {
    work->key = key->IdentityFor(work->account);
  }
  arrival.body_hash = event.body_hash;
  arrival.non_idempotent = work->route.non_idempotent;
  arrival.admission_class = work->route.admission_class;
  arrival.forwarded = event.forwarded_account.has_value();
  arrival.log_available = !m_dependencies.log.IsUnavailable(now);
  arrival.fold_current = FoldIsCurrent(now);
  arrival.closed = closed;

  m_work.emplace(event.request, std::move(*work));
  ApplyVerdict(now, event.request, m_table.OnArrival(now, arrival));
}

// A retry of a request that ran elsewhere may reach a router that has not read
// the log yet. "Not run" could be wrong, so a keyed request gets an unknown
// outcome and a Retry-After.
void RequestFlow::RefuseBeforeFirstRead(const RequestArrived& event,
                                        const Error& closed) {
  const core::RunState run_state = event.idempotency_key.empty()
                                       ? core::RunState::kNotRun
                                       : core::RunState::kUnknown;
  m_dependencies.outbox.Add(
      Refuse{event.request, closed, run_state, kRetryElsewhere});
}

void RequestFlow::Deny(RequestId id,
                       Error denial,
                       std::optional<core::Duration> retry_after,
                       core::RunState run_state,
                       const std::optional<Error>& closed) {
  // A router that may lack the newest configuration cannot know that a caller
  // is not allowed, and callers do not repeat a denied request.
  const bool certain = !closed || closed->id == ErrorId::kDraining;
  if (certain) {
    RefuseImmediately(id, std::move(denial), retry_after, run_state);
  } else {
    RefuseImmediately(id, *closed, kRetryElsewhere, run_state);
  }
}

std::optional<Work> RequestFlow::Classify(
    TimePoint now,
    const RequestArrived& event,
    const std::optional<request::KeyName>& key,
    const std::optional<Error>& closed) {
  const auto account = Authenticate(event.api_key, event.forwarded_account);
  if (!core::IsOk(account)) {
    const bool may_have_run = closed.has_value() && key.has_value();
    Deny(event.request, core::Failure(account), std::nullopt,
         may_have_run ? core::RunState::kUnknown : core::RunState::kNotRun,
         closed);
    return std::nullopt;
  }
  const config::EffectiveLimits& limits =
      m_dependencies.configured.tables().limits();
  rules::RequestFacts facts;
  facts.account = core::Value(account)->id;
  facts.model = core::ModelId(event.model);
  facts.service = event.service;
  facts.method = event.method;
  facts.path = event.path;
  facts.headers = event.headers;
  facts.prompt = event.body_size;
  facts.max_output_tokens = event.max_output_tokens;
  facts.minute_of_day = m_dependencies.hooks.minute_of_day(now);

  const core::RunState run_state =
      key.has_value() ? m_table.RunStateOfKey(facts.account, *key)
                      : core::RunState::kNotRun;
  const rules::Decision decision =
      m_dependencies.configured.rules().Match(facts);
  if (const auto* refused = std::get_if<rules::Refused>(&decision)) {
    Deny(event.request,
         {ErrorId::kRefusedByRule, refused->rule.value(), refused->reason},
         refused->retry_after, run_state, closed);
    return std::nullopt;
  }
  const auto* route = std::get_if<rules::Route>(&decision);
  if (route == nullptr) {
    Deny(event.request,
         {ErrorId::kNoRuleMatches, facts.account.value(), event.path},
         std::nullopt, run_state, closed);
    return std::nullopt;
  }
  if (route->candidates->empty()) {
    RefuseImmediately(
        event.request,
        {ErrorId::kNoUpstream, route->rule.value(),
         "no upstream serves " + event.model + event.service.value()},
        std::nullopt, run_state);
    return std::nullopt;
  }

  Work work;
  work.id = event.request;
  work.account = facts.account;
  work.budget = core::Value(account)->budget;
  work.route = *route;
  work.target = {facts.model, event.service};
  work.affinity =
      event.prompt_prefix.empty() ? 0 : core::Hash64(event.prompt_prefix);
  if (!event.model.empty()) {
    const Tokens asked = event.max_output_tokens > Tokens(0)
                             ? event.max_output_tokens
                             : limits.default_max_output;
    work.max_output = std::min(asked, route->max_output_tokens);
    work.prompt_bound = Tokens(event.body_size.value()) + kFramingAllowance;
  }
  work.arrived = now;
  work.start_by = now + route->max_queue;
  if (event.deadline.has_value()) {
    work.start_by = std::min(work.start_by, *event.deadline);
  }
  return work;
}

void RequestFlow::ApplyVerdict(TimePoint now,
                               RequestId id,
                               const request::KeyVerdict& verdict) {
  Work* work = Find(id);
  if (const auto* refuse = std::get_if<request::Refuse>(&verdict)) {
    m_dependencies.outbox.Add(
        Refuse{id, refuse->error, refuse->run_state, refuse->retry_after});
    Erase(id);
    return;
  }
  if (work == nullptr) {
    return;
  }
  if (std::holds_alternative<request::RunHere>(verdict)) {
    RunHere(now, *work);
  } else if (const auto* claim = std::get_if<request::NeedClaim>(&verdict)) {
    Claim(now, *work, claim->key);
  } else if (const auto* join = std::get_if<request::Join>(&verdict)) {
    m_dependencies.outbox.Add(JoinAnswer{id, join->leader});
    Erase(id);
  } else if (const auto* to = std::get_if<request::ForwardTo>(&verdict)) {
    Relay(*work, *to);
  }
}

// The rate limit is checked after the key: a retry that gets the answer of a
// running request costs the upstream nothing and must not be refused. A retry
// after the loss of a router is not limited either, because it was counted when
// it was first admitted.
void RequestFlow::RunHere(TimePoint now, Work& work) {
  const request::RequestRecord* record = m_table.Find(work.id);
  const bool admitted_before = record != nullptr && record->may_have_run;
  const auto limited =
      admitted_before ? std::nullopt : m_limiter.Admit(work.account, now);
  if (limited.has_value()) {
    GiveUp(now, work, limited->error, limited->retry_after);
    return;
  }
  ReserveTokens(now, work);
}

void RequestFlow::Claim(TimePoint now, Work& work, const core::Hash128& key) {
  if (!m_dependencies.log.HasRoomFor(kRoomForOwnRecords)) {
    GiveUp(now, work,
           {ErrorId::kBacklogFull, work.account.value(),
            "too many records wait for the log"},
           kRetryAfterBacklog);
    return;
  }
  v1::Record record;
  record.mutable_key_claimed()->set_key_hash(key.ToBytes());
  const core::Status added =
      m_dependencies.log.Add(std::move(record), logclient::Urgency::kUrgent);
  if (!core::IsOk(added)) {
    GiveUp(now, work, core::Failure(added), std::nullopt);
    return;
  }
  work.stage = Stage::kClaim;
  m_deadlines.emplace(work.start_by, work.id);
  m_claims.insert_or_assign(key, work.id);
}

void RequestFlow::OnClaim(TimePoint now,
                          const core::Hash128& key,
                          const request::Origin& owner) {
  m_now = now;
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return;
  }
  const RequestId id = found->second;
  m_claims.erase(found);
  Work* work = Find(id);
  if (work == nullptr) {
    return;
  }
  const request::Origin self{m_dependencies.settings.router,
                             m_dependencies.incarnation};
  if (owner == self) {
    m_table.OnClaimWon(now, id);
    RunHere(now, *work);
    return;
  }
  for (const request::RequestVerdict& next :
       m_table.OnClaimLost(now, id, owner)) {
    ApplyVerdict(now, next.request, next.verdict);
  }
}

void RequestFlow::Relay(Work& work, const request::ForwardTo& to) {
  work.stage = Stage::kForwarded;
  m_dependencies.outbox.Info("forwarded",
                             {{"request", std::to_string(work.id.value())},
                              {"account", work.account.value()},
                              {"router", to.router.value()}});
  m_dependencies.outbox.Add(
      Forward{work.id, to.router, to.incarnation, to.address, work.account});
}

void RequestFlow::OnForwardEnded(TimePoint now, const ForwardEnded& event) {
  m_now = now;
  const auto status = m_status_relays.extract(event.request);
  if (!status.empty()) {
    if (!event.answered) {
      ReplyStatus(event.request, status.mapped());
    }
    return;
  }
  request::ForwardOutcome outcome;
  outcome.answered = event.answered;
  outcome.sent = event.sent;
  outcome.relayed = event.relayed;
  outcome.log_available = !m_dependencies.log.IsUnavailable(now);
  outcome.fold_current = FoldIsCurrent(now);
  const auto verdict = m_table.OnForwardEnded(now, event.request, outcome);
  if (!verdict.has_value()) {
    Erase(event.request);
    return;
  }
  ApplyVerdict(now, event.request, *verdict);
}

void RequestFlow::OnStatusRequested(TimePoint now,
                                    const StatusRequested& event,
                                    const std::optional<Error>& closed) {
  m_now = now;
  const auto account = Authenticate(event.api_key, event.forwarded_account);
  if (!core::IsOk(account)) {
    Deny(event.request, core::Failure(account), std::nullopt,
         core::RunState::kNotRun, closed);
    return;
  }
  const auto key = request::KeyName::Parse(event.idempotency_key);
  if (!core::IsOk(key)) {
    RefuseImmediately(event.request, core::Failure(key), std::nullopt);
    return;
  }
  const core::AccountId& id = core::Value(account)->id;
  const request::StatusLookup lookup = m_table.StatusOf(
      now, id, core::Value(key), event.forwarded_account.has_value());
  if (!lookup.forward_to.has_value()) {
    ReplyStatus(event.request, lookup.status);
    return;
  }
  m_status_relays.emplace(event.request, lookup.status);
  m_dependencies.outbox.Add(Forward{event.request, lookup.forward_to->router,
                                    lookup.forward_to->incarnation,
                                    lookup.forward_to->address, id});
}

void RequestFlow::ReplyStatus(RequestId id, const v1::RequestStatus& status) {
  m_dependencies.outbox.Add(ReplyJson{id, kHttpOk, JsonOf(status)});
}

}  // namespace coppervalve::router::detail
