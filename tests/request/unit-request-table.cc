#include <CppUTest/TestHarness.h>

#include <map>  // map

#include "coppervalve/request/request_table.h"

using namespace coppervalve;
using namespace coppervalve::request;

namespace {

constexpr core::Duration kSecond = std::chrono::seconds(1);
const core::AccountId kAccount("boleteria");
const Origin kA{core::RouterId("a"), core::Incarnation(1)};
const Origin kB{core::RouterId("b"), core::Incarnation(2)};

/// State of the fleet and of the log, shared by both routers.
struct Fleet {
  std::map<Origin, PeerState> states{{kA, PeerState::kReachable},
                                     {kB, PeerState::kReachable}};
  std::map<core::Hash128, Origin> claims;
  Origin owner = kB;

  Location Locate(const Origin& origin) const {
    const auto found = states.find(origin);
    const bool known = found != states.end();
    return {origin, known ? found->second : PeerState::kUnknown, "10.0.0.1:1"};
  }

  TableHooks Hooks() {
    return {[this](const Origin& origin) { return Locate(origin); },
            [this](const core::Hash128&) { return Locate(owner); },
            [this](const core::Hash128& key) -> std::optional<Origin> {
              const auto found = claims.find(key);
              return found == claims.end()
                         ? std::nullopt
                         : std::optional<Origin>(found->second);
            }};
  }
};

KeyName Key(const std::string& text) {
  return core::TakeValue(KeyName::Parse(text));
}

KeyName BoundTo(const Origin& origin) {
  return Key(KeyPrefix(origin) + "seat-7");
}

template <typename T>
const T& Expect(const KeyVerdict& verdict) {
  CHECK(std::holds_alternative<T>(verdict));
  return std::get<T>(verdict);
}

void ExpectRefusal(const KeyVerdict& verdict,
                   core::ErrorId error,
                   core::RunState run_state) {
  const Refuse& refusal = Expect<Refuse>(verdict);
  CHECK_EQUAL(static_cast<int>(error), static_cast<int>(refusal.error.id));
  CHECK(refusal.run_state == run_state);
}

}  // namespace

TEST_GROUP(RequestTable) {
  Fleet m_fleet;
  core::TimePoint m_now{kSecond};
  RequestTable m_a{kA, m_fleet.Hooks()};
  RequestTable m_b{kB, m_fleet.Hooks()};
  uint64_t m_last_id = 0;

  Arrival Make(std::optional<KeyName> key, bool non_idempotent,
               const std::string& body = "body") {
    Arrival arrival;
    arrival.id = core::RequestId(++m_last_id);
    arrival.account = kAccount;
    arrival.key = std::move(key);
    arrival.body_hash = core::HashOf(body);
    arrival.non_idempotent = non_idempotent;
    arrival.log_available = true;
    return arrival;
  }
  /// A non-idempotent request, such as a seat hold.
  Arrival Hold(const KeyName& key) {
    return Make(key, true);
  }
  /// An idempotent request, such as a model request for a draft.
  Arrival Draft(const KeyName& key) {
    return Make(key, false);
  }

  /// Admits the request at `table` and sends it to an upstream.
  core::RequestId Send(RequestTable & table, const Arrival& arrival) {
    Expect<RunHere>(table.OnArrival(m_now, arrival));
    table.OnReserved(m_now, arrival.id, core::UpstreamId("u1"));
    table.OnSent(m_now, arrival.id);
    return arrival.id;
  }
};

TEST(RequestTable, the_same_key_joins_the_running_request_and_its_answer) {
  const core::RequestId leader = Send(m_a, Hold(BoundTo(kA)));
  const Arrival retry = Hold(BoundTo(kA));
  CHECK(Expect<Join>(m_a.OnArrival(m_now, retry)).leader == leader);
  const Waiters waiters = m_a.OnDone(m_now, leader, core::Bytes(10));
  CHECK((waiters == Waiters{leader, retry.id}));
  const KeyVerdict late = m_a.OnArrival(m_now, Hold(BoundTo(kA)));
  CHECK(Expect<Join>(late).leader == leader);
  UNSIGNED_LONGS_EQUAL(0, m_a.open());
}

TEST(RequestTable, another_body_under_the_same_key_is_refused) {
  Send(m_a, Hold(BoundTo(kA)));
  ExpectRefusal(m_a.OnArrival(m_now, Make(BoundTo(kA), true, "other")),
                core::ErrorId::kKeyReusedWithOtherBody,
                core::RunState::kNotRun);
}

TEST(RequestTable, a_refused_request_may_run_anew) {
  const Arrival first = Hold(BoundTo(kA));
  Expect<RunHere>(m_a.OnArrival(m_now, first));
  CHECK(m_a.RefusalRunState(first.id) == core::RunState::kNotRun);
  m_a.OnRefused(m_now, first.id, core::ErrorId::kQueueTimeout);
  UNSIGNED_LONGS_EQUAL(0, m_a.tombstones());
  Expect<RunHere>(m_a.OnArrival(m_now, Hold(BoundTo(kA))));
}

// The upstream fails after the request was sent, and the caller retries with
// the same key, at once and after the record expired. The hold may have run, so
// it must not be sent again.
TEST(RequestTable, a_hold_with_an_unknown_outcome_is_never_sent_again) {
  const core::RequestId id = Send(m_a, Hold(BoundTo(kA)));
  CHECK_FALSE(m_a.MayRetry(id));
  m_a.OnFailed(m_now, id, core::ErrorId::kUpstreamFailed);
  ExpectRefusal(m_a.OnArrival(m_now, Hold(BoundTo(kA))),
                core::ErrorId::kOutcomeUnknown, core::RunState::kUnknown);
  m_now += 301 * kSecond;
  m_a.TakeExpired(m_now);
  UNSIGNED_LONGS_EQUAL(0, m_a.size());
  ExpectRefusal(m_a.OnArrival(m_now, Hold(BoundTo(kA))),
                core::ErrorId::kOutcomeUnknown, core::RunState::kUnknown);
}

TEST(RequestTable, a_declined_hold_may_be_sent_to_another_upstream) {
  const core::RequestId id = Send(m_a, Hold(BoundTo(kA)));
  m_a.OnAttemptNotRun(m_now, id);
  CHECK(m_a.MayRetry(id));
  CHECK(m_a.RefusalRunState(id) == core::RunState::kNotRun);
}

// A request is given up while the outcome of its first attempt is unknown.
// Reporting "not run" would cause a second run.
TEST(RequestTable, a_sent_request_that_is_given_up_on_counts_as_unknown) {
  const core::RequestId id = Send(m_a, Hold(BoundTo(kA)));
  CHECK(m_a.RefusalRunState(id) == core::RunState::kUnknown);
  m_a.OnRefused(m_now, id, core::ErrorId::kQueueTimeout);
  ExpectRefusal(m_a.OnArrival(m_now, Hold(BoundTo(kA))),
                core::ErrorId::kOutcomeUnknown, core::RunState::kUnknown);
}

TEST(RequestTable, a_failed_draft_runs_again_and_is_not_called_not_run) {
  const core::RequestId id = Send(m_a, Draft(BoundTo(kA)));
  CHECK(m_a.MayRetry(id));
  m_a.OnFailed(m_now, id, core::ErrorId::kUpstreamFailed);
  const Arrival again = Draft(BoundTo(kA));
  Expect<RunHere>(m_a.OnArrival(m_now, again));
  CHECK(m_a.RefusalRunState(again.id) == core::RunState::kUnknown);
  m_a.OnRefused(m_now, again.id, core::ErrorId::kQueueTimeout);
  const Arrival third = Draft(BoundTo(kA));
  Expect<RunHere>(m_a.OnArrival(m_now, third));
  CHECK(m_a.RefusalRunState(third.id) == core::RunState::kUnknown);
}

TEST(RequestTable, a_key_of_another_router_is_forwarded_once) {
  Arrival arrival = Hold(BoundTo(kA));
  CHECK(Expect<ForwardTo>(m_b.OnArrival(m_now, arrival)).router == kA.router);
  arrival.forwarded = true;
  Send(m_a, arrival);
  Arrival astray = Hold(BoundTo(kA));
  astray.forwarded = true;
  ExpectRefusal(m_b.OnArrival(m_now, astray), core::ErrorId::kOutcomeUnknown,
                core::RunState::kUnknown);
}

// Router A runs a hold, is partitioned and then retired, and the caller retries
// at B. B cannot know whether the hold ran: it reports that and does not run
// it. It runs a draft again, because the log bills a key once.
TEST(RequestTable, an_origin_that_is_gone_leaves_a_hold_unknown) {
  Send(m_a, Hold(BoundTo(kA)));
  m_fleet.states[kA] = PeerState::kUnreachable;
  ExpectRefusal(m_b.OnArrival(m_now, Hold(BoundTo(kA))),
                core::ErrorId::kOutcomeUnknown, core::RunState::kUnknown);
  m_fleet.states[kA] = PeerState::kRetired;
  ExpectRefusal(m_b.OnArrival(m_now, Hold(BoundTo(kA))),
                core::ErrorId::kOriginGone, core::RunState::kUnknown);
  const Arrival draft = Draft(BoundTo(kA));
  Expect<RunHere>(m_b.OnArrival(m_now, draft));
  CHECK(m_b.RefusalRunState(draft.id) == core::RunState::kUnknown);
}

// Router A restarts within a second, before the log shows the end of its former
// incarnation. The caller retries at the new one, whose table is empty.
TEST(RequestTable, a_restarted_router_does_not_run_its_predecessors_hold) {
  RequestTable restarted({kA.router, core::Incarnation(9)}, m_fleet.Hooks());
  ExpectRefusal(restarted.OnArrival(m_now, Hold(BoundTo(kA))),
                core::ErrorId::kOriginGone, core::RunState::kUnknown);
}

// Retries of one hold reach A and B, which can't reach each other. Both claim
// the key; A's claim is first. B forwards to A, or reports "unknown" once A is
// retired, and never runs it.
TEST(RequestTable, only_the_winner_of_a_claim_runs_the_hold) {
  m_fleet.states = {{kA, PeerState::kUnreachable},
                    {kB, PeerState::kUnreachable}};
  const KeyName key = Key("seat-7");
  const Arrival at_a = Hold(key);
  const Arrival at_b = Hold(key);
  const Arrival joined = Hold(key);
  const core::Hash128 identity = key.IdentityFor(kAccount);
  CHECK(Expect<NeedClaim>(m_a.OnArrival(m_now, at_a)).key == identity);
  Expect<NeedClaim>(m_b.OnArrival(m_now, at_b));
  CHECK(Expect<Join>(m_b.OnArrival(m_now, joined)).leader == at_b.id);
  m_fleet.claims[identity] = kA;
  m_a.OnClaimWon(m_now, at_a.id);
  CHECK(m_a.Find(at_a.id)->phase == Phase::kQueued);
  m_fleet.states[kA] = PeerState::kReachable;
  const auto verdicts = m_b.OnClaimLost(m_now, at_b.id, kA);
  UNSIGNED_LONGS_EQUAL(1, verdicts.size());
  CHECK(Expect<ForwardTo>(verdicts[0].verdict).router == kA.router);
  CHECK(m_b.OnCallerDisconnected(m_now, at_b.id) ==
        DisconnectDecision::kKeepRunning);
  const ForwardOutcome lost{.sent = true, .log_available = true};
  ExpectRefusal(*m_b.OnForwardEnded(m_now, at_b.id, lost),
                core::ErrorId::kOutcomeUnknown, core::RunState::kUnknown);
  UNSIGNED_LONGS_EQUAL(0, m_b.open());
  m_fleet.states[kA] = PeerState::kRetired;
  ExpectRefusal(m_b.OnArrival(m_now, Hold(key)), core::ErrorId::kOriginGone,
                core::RunState::kUnknown);
  UNSIGNED_LONGS_EQUAL(0, m_b.tombstones());
}

TEST(RequestTable,
     all_who_joined_a_lost_claim_are_told_when_its_winner_is_gone) {
  m_fleet.owner = kB;
  const Arrival leader = Hold(Key("seat-7"));
  const Arrival joiner = Hold(Key("seat-7"));
  Expect<NeedClaim>(m_b.OnArrival(m_now, leader));
  Expect<Join>(m_b.OnArrival(m_now, joiner));
  m_fleet.states[kA] = PeerState::kRetired;
  const auto verdicts = m_b.OnClaimLost(m_now, leader.id, kA);
  UNSIGNED_LONGS_EQUAL(2, verdicts.size());
  CHECK(verdicts[1].request == joiner.id);
  for (const RequestVerdict& verdict : verdicts) {
    ExpectRefusal(verdict.verdict, core::ErrorId::kOriginGone,
                  core::RunState::kUnknown);
  }
  UNSIGNED_LONGS_EQUAL(0, m_b.size());
}

// A retry of a hold that ran on a draining router must still get its answer:
// "draining, not run" would be false and cause a second hold.
TEST(RequestTable, a_closed_router_refuses_only_what_it_would_have_to_run) {
  const core::RequestId running = Send(m_a, Hold(BoundTo(kA)));
  Arrival retry = Hold(BoundTo(kA));
  retry.closed = core::Error{core::ErrorId::kDraining, "", ""};
  CHECK(Expect<Join>(m_a.OnArrival(m_now, retry)).leader == running);
  Arrival fresh = Hold(Key(KeyPrefix(kA) + "other"));
  fresh.closed = retry.closed;
  ExpectRefusal(m_a.OnArrival(m_now, fresh), core::ErrorId::kDraining,
                core::RunState::kNotRun);
  Arrival elsewhere = Hold(BoundTo(kB));
  elsewhere.closed = retry.closed;
  Expect<ForwardTo>(m_a.OnArrival(m_now, elsewhere));
  CHECK(m_a.RunStateOfKey(kAccount, BoundTo(kA)) == core::RunState::kUnknown);
  CHECK(m_a.RunStateOfKey(kAccount, *fresh.key) == core::RunState::kNotRun);
  CHECK(m_a.RunStateOfKey(kAccount, BoundTo(kB)) == core::RunState::kUnknown);
}

TEST(RequestTable, a_claim_that_was_won_but_not_used_serves_the_retry) {
  m_fleet.owner = kA;
  const KeyName key = Key("seat-7");
  const Arrival first = Hold(key);
  Expect<NeedClaim>(m_a.OnArrival(m_now, first));
  m_a.OnRefused(m_now, first.id, core::ErrorId::kQueueTimeout);
  m_fleet.claims[key.IdentityFor(kAccount)] = kA;
  Expect<RunHere>(m_a.OnArrival(m_now, Hold(key)));
}

// With the log unavailable and an outdated fold, another router may have
// claimed and run the key. Only with a current fold may the refusal say "not
// run".
TEST(RequestTable, without_the_log_a_hold_without_prefix_is_refused) {
  m_fleet.owner = kA;
  Arrival arrival = Hold(Key("seat-7"));
  arrival.log_available = false;
  ExpectRefusal(m_a.OnArrival(m_now, arrival), core::ErrorId::kClaimUnavailable,
                core::RunState::kNotRun);
  arrival.fold_current = false;
  ExpectRefusal(m_a.OnArrival(m_now, arrival), core::ErrorId::kClaimUnavailable,
                core::RunState::kUnknown);
  Expect<RunHere>(m_a.OnArrival(m_now, Hold(BoundTo(kA))));
}

// A relays a draft to its owner B and the connection fails. If the caller
// received nothing, A runs the draft itself; after part of an answer it must
// not.
TEST(RequestTable, a_relay_that_died_is_run_here_unless_part_was_relayed) {
  const Arrival whole = Draft(Key("plan-1"));
  Expect<ForwardTo>(m_a.OnArrival(m_now, whole));
  const ForwardOutcome died{.sent = true};
  Expect<RunHere>(*m_a.OnForwardEnded(m_now, whole.id, died));
  CHECK(m_a.RefusalRunState(whole.id) == core::RunState::kUnknown);
  const Arrival cut = Draft(Key("plan-2"));
  Expect<ForwardTo>(m_a.OnArrival(m_now, cut));
  const ForwardOutcome half{.sent = true, .relayed = true};
  ExpectRefusal(*m_a.OnForwardEnded(m_now, cut.id, half),
                core::ErrorId::kAnswerCut, core::RunState::kUnknown);
  UNSIGNED_LONGS_EQUAL(1, m_a.open());
}

// Two relays of one hold end unsent because B became unreachable. The first
// claims the key here; the second must join it, not replace it.
TEST(RequestTable, relays_of_one_key_that_come_back_run_as_one) {
  const Arrival first = Hold(Key("seat-7"));
  const Arrival second = Hold(Key("seat-7"));
  Expect<ForwardTo>(m_a.OnArrival(m_now, first));
  Expect<ForwardTo>(m_a.OnArrival(m_now, second));
  const ForwardOutcome unsent{.log_available = true};
  Expect<NeedClaim>(*m_a.OnForwardEnded(m_now, first.id, unsent));
  const KeyVerdict verdict = *m_a.OnForwardEnded(m_now, second.id, unsent);
  CHECK(Expect<Join>(verdict).leader == first.id);
  CHECK((m_a.OnRefused(m_now, first.id, core::ErrorId::kQueueTimeout) ==
         Waiters{first.id, second.id}));
}

TEST(RequestTable, a_disconnect_cancels_only_requests_without_a_reader) {
  const core::RequestId keyed = Send(m_a, Draft(BoundTo(kA)));
  CHECK(m_a.OnCallerDisconnected(m_now, keyed) ==
        DisconnectDecision::kKeepRunning);
  CHECK(m_a.OnDone(m_now, keyed, core::Bytes(1)).empty());
  Expect<Join>(m_a.OnArrival(m_now, Draft(BoundTo(kA))));
  const core::RequestId draft = Send(m_a, Make(std::nullopt, false));
  CHECK(m_a.OnCallerDisconnected(m_now, draft) == DisconnectDecision::kCancel);
  const core::RequestId hold = Send(m_a, Make(std::nullopt, true));
  CHECK(m_a.OnCallerDisconnected(m_now, hold) ==
        DisconnectDecision::kKeepRunning);
}

TEST(RequestTable, a_disconnected_joiner_is_not_notified) {
  const core::RequestId leader = Send(m_a, Hold(BoundTo(kA)));
  const Arrival joiner = Hold(BoundTo(kA));
  Expect<Join>(m_a.OnArrival(m_now, joiner));
  CHECK(m_a.OnCallerDisconnected(m_now, joiner.id) ==
        DisconnectDecision::kNothing);
  CHECK((m_a.OnDone(m_now, leader, core::Bytes(1)) == Waiters{leader}));
}

TEST(RequestTable, kept_answers_are_bounded_by_bytes_and_by_time) {
  RequestTable table(kA, m_fleet.Hooks(), {.max_kept_bytes = core::Bytes(100)});
  const core::RequestId old = Send(table, Draft(Key(KeyPrefix(kA) + "1")));
  table.OnDone(m_now, old, core::Bytes(60));
  const core::RequestId recent = Send(table, Draft(Key(KeyPrefix(kA) + "2")));
  table.OnDone(m_now, recent, core::Bytes(60));
  CHECK((table.TakeExpired(m_now) == std::vector{old}));
  ExpectRefusal(table.OnArrival(m_now, Draft(Key(KeyPrefix(kA) + "1"))),
                core::ErrorId::kAnswerExpired, core::RunState::kRan);
  m_now += 300 * kSecond;
  CHECK((table.TakeExpired(m_now) == std::vector{recent}));
  UNSIGNED_LONGS_EQUAL(0, table.size());
}

// A burst of holds fills the table within the keep time. Dropping the oldest
// record would let its retry run again, so new holds are refused as not run.
TEST(RequestTable, a_full_table_refuses_new_holds_and_forgets_none) {
  RequestTable table(kA, m_fleet.Hooks(), {.max_tombstones = 2});
  for (const char* name : {"1", "2"}) {
    const core::RequestId id = Send(table, Hold(Key(KeyPrefix(kA) + name)));
    table.OnDone(m_now, id, core::Bytes(1));
  }
  ExpectRefusal(table.OnArrival(m_now, Hold(Key(KeyPrefix(kA) + "3"))),
                core::ErrorId::kBacklogFull, core::RunState::kNotRun);
  Expect<Join>(table.OnArrival(m_now, Hold(Key(KeyPrefix(kA) + "1"))));
  Expect<RunHere>(table.OnArrival(m_now, Draft(Key(KeyPrefix(kA) + "4"))));
  m_now += 300 * kSecond;
  Expect<RunHere>(table.OnArrival(m_now, Hold(Key(KeyPrefix(kA) + "3"))));
}

TEST(RequestTable, a_status_lookup_always_answers) {
  const core::RequestId id = Send(m_a, Hold(BoundTo(kA)));
  m_now += kSecond;
  StatusLookup lookup = m_a.StatusOf(m_now, kAccount, BoundTo(kA));
  STRCMP_EQUAL("running", lookup.status.state().c_str());
  STRCMP_EQUAL("unknown", lookup.status.run_state().c_str());
  STRCMP_EQUAL("u1", lookup.status.upstream().c_str());
  UNSIGNED_LONGS_EQUAL(1000, lookup.status.age_ms());
  m_a.OnDone(m_now, id, core::Bytes(1));
  lookup = m_a.StatusOf(m_now, kAccount, BoundTo(kA));
  STRCMP_EQUAL("ran", lookup.status.run_state().c_str());
  lookup = m_b.StatusOf(m_now, kAccount, BoundTo(kA));
  STRCMP_EQUAL("unknown", lookup.status.state().c_str());
  CHECK(lookup.forward_to->router == kA.router);
  CHECK_FALSE(
      m_b.StatusOf(m_now, kAccount, BoundTo(kA), true).forward_to.has_value());
}

TEST(RequestTable, another_account_sees_nothing_of_a_key) {
  Send(m_a, Hold(BoundTo(kA)));
  const core::AccountId other("other");
  STRCMP_EQUAL("unknown",
               m_a.StatusOf(m_now, other, BoundTo(kA)).status.state().c_str());
  Arrival arrival = Hold(BoundTo(kA));
  arrival.account = other;
  Expect<RunHere>(m_a.OnArrival(m_now, arrival));
}
