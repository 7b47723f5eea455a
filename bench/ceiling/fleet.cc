#include "bench/ceiling/fleet.h"

#include <algorithm>  // max
#include <cmath>      // log

#include "coppervalve/entry/predecessor_info.h"

namespace coppervalve::bench {

namespace {

constexpr double kStep = 0.01;  // seconds
constexpr double kHeartbeatPeriod = 0.6;
constexpr double kExpeditedDelay = 0.03;
constexpr double kClaimWaitTimeout = 0.4;  // seconds
constexpr double kRestart = 1;
constexpr double kRunTime = 1.5;
constexpr double kFinalSpan = 5;
// About a fifth of the requests are large, like group itineraries.
constexpr double kLargeRequestShare = 0.22;
constexpr int64_t kLargeTokens = 12'000;
constexpr int64_t kSmallTokens = 1'500;
constexpr double kUsedShareOfMax = 0.9;
constexpr double kSpread = 0.6;

core::TimePoint At(double seconds) {
  return core::TimePoint(core::Duration(static_cast<int64_t>(seconds * 1e6)));
}

core::AccountId AccountName(uint32_t account) {
  return core::AccountId("account-" + std::to_string(account));
}

core::RouterId RouterName(uint32_t router) {
  return core::RouterId("router-" + std::to_string(router));
}

}  // namespace

Fleet::Fleet(const FleetOptions& options, Policy policy)
    : m_options(options),
      m_policy(policy),
      m_random(options.seed),
      m_routers(options.routers),
      m_load_factors(options.accounts, 1.0),
      m_spent(options.accounts),
      m_in_use(options.accounts) {
  double sum = 0;
  for (uint32_t i = 0; i < options.accounts; ++i) {
    m_weights.push_back(1.0 / (i + 1));
    sum += m_weights.back();
  }
  const double mean =
      kLargeRequestShare * static_cast<double>(kLargeTokens) +
      (1 - kLargeRequestShare) * static_cast<double>(kSmallTokens);
  const double all = options.requests_per_second * options.end * mean *
                     kUsedShareOfMax * options.prepaid_ratio;
  for (double& weight : m_weights) {
    weight /= sum;
    m_totals.push_back(static_cast<int64_t>(all * weight));
    m_outcome.total += m_totals.back();
  }
  for (uint32_t i = 0; i < options.routers; ++i) {
    for (const int64_t total : m_totals) {
      m_routers[i].split.push_back(total / options.routers);
    }
    StartRouter(i);
  }
}

double Fleet::Uniform() {
  constexpr double kBits = 9007199254740992.0;  // 2^53
  return static_cast<double>(m_random() >> 11) / kBits;
}

entry::Configuration Fleet::MakeConfiguration() const {
  entry::Configuration configuration;
  for (uint32_t i = 0; i < m_options.accounts; ++i) {
    entry::Account account;
    account.name = AccountName(i);
    account.prepaid = core::Tokens(m_totals[i]);
    configuration.accounts.push_back(account);
  }
  return configuration;
}

void Fleet::StartRouter(uint32_t index) {
  Router& router = m_routers[index];
  router.up = true;
  ++router.epoch;
  router.sequence = 0;
  router.read = 0;
  router.next_heartbeat = m_now + 0.05;
  router.book = std::make_unique<entry::AllocationLedger>(m_options.book);
  router.book->OnConfiguration(MakeConfiguration());
  v1::RouterBeat own;
  for (; router.read < m_log.size(); ++router.read) {
    const Record& record = m_log[router.read];
    if (record.router == index) {
      own = record.beat;
      continue;
    }
    router.book->OnPeerHeartbeat(RouterName(record.router), record.beat,
                                 At(m_now));
  }
  entry::PredecessorInfo predecessor;
  predecessor.boot = std::to_string(router.boot);
  predecessor.ended_by = At(m_now);
  const bool held_back = entry::ReserveUntouched(own, predecessor);
  CountStranded(router, own, held_back);
  router.book->OnPredecessor(own, held_back);
}

// Adds the tokens that count as spent from now on although they were not.
void Fleet::CountStranded(const Router& router,
                          const v1::RouterBeat& last,
                          bool held_back) {
  for (const v1::AccountClaim& claim : last.claims()) {
    for (uint32_t i = 0; i < router.used.size(); ++i) {
      if (AccountName(i).value() == claim.account()) {
        const int64_t untouched = held_back ? claim.reserve() : 0;
        m_outcome.stranded += claim.ceiling() - untouched - router.used[i];
      }
    }
  }
}

void Fleet::ReadLog(uint32_t index) {
  Router& router = m_routers[index];
  for (; router.read < m_log.size(); ++router.read) {
    const Record& record = m_log[router.read];
    if (record.router != index) {
      router.book->OnPeerHeartbeat(RouterName(record.router), record.beat,
                                   At(m_now));
      continue;
    }
    if (record.beat.epoch() == router.epoch) {
      router.book->OnAcknowledged(record.beat.sequence(), At(m_now));
      router.book->OnOwnHeartbeat(record.beat);
    }
  }
}

void Fleet::WriteHeartbeat(uint32_t index, bool closing) {
  Router& router = m_routers[index];
  Record record;
  record.router = index;
  record.beat.set_epoch(router.epoch);
  record.beat.set_sequence(++router.sequence);
  const core::TimePoint not_before = At(m_now) + m_options.book.held_back;
  record.beat.set_boot(std::to_string(router.boot));
  record.beat.set_written_at(At(m_now).time_since_epoch().count());
  record.beat.set_not_before(not_before.time_since_epoch().count());
  entry::ClaimContext context;
  context.routers = m_options.routers;
  context.closing = closing;
  router.book->WriteClaims(record.beat, context, At(m_now));
  m_log.push_back(std::move(record));
  ++m_outcome.records;
  router.next_heartbeat = m_now + kHeartbeatPeriod;
}

void Fleet::EndRequests(Router& router) {
  while (!router.running.empty() && router.running.front().ends <= m_now) {
    const Request request = router.running.front();
    router.running.pop_front();
    m_in_use[request.account] -= request.max_tokens;
    m_spent[request.account] += request.used;
    if (m_policy == Policy::kCeilings) {
      router.book->Settle(AccountName(request.account),
                          core::Tokens(request.max_tokens),
                          core::Tokens(request.used), At(m_now));
    } else {
      router.split[request.account] += request.max_tokens - request.used;
    }
  }
}

bool Fleet::InFinalSpan() const {
  return m_now >= m_options.end - kFinalSpan;
}

bool Fleet::TryServe(Router& router, const Request& request) {
  if (m_policy == Policy::kEqualSplit) {
    if (router.split[request.account] < request.max_tokens) {
      return false;
    }
    router.split[request.account] -= request.max_tokens;
  } else if (router.book->Reserve(
                 AccountName(request.account), core::Tokens(request.max_tokens),
                 At(m_now)) != entry::ReserveResult::kReserved) {
    return false;
  }
  m_in_use[request.account] += request.max_tokens;
  ++m_outcome.served;
  m_outcome.late_served += InFinalSpan() ? 1 : 0;
  Request running = request;
  running.ends = m_now + kRunTime;
  router.running.push_back(running);
  return true;
}

void Fleet::Refuse(const Request& request) {
  const int64_t left = m_totals[request.account] - m_spent[request.account] -
                       m_in_use[request.account];
  if (left >= request.max_tokens) {
    ++m_outcome.false_refusals;
  }
}

uint32_t Fleet::RouterFor(uint32_t account) {
  const auto draw = static_cast<uint32_t>(m_random() >> 32);
  if (account < m_options.two_router_accounts) {
    return (account * 2 + draw % 2) % m_options.routers;
  }
  return draw % m_options.routers;
}

void Fleet::Serve(uint32_t index, const Request& request) {
  Router& router = m_routers[index];
  if (!router.up) {
    return;  // no router to call: not counted as a refusal
  }
  ++m_outcome.requests;
  m_outcome.late_requests += InFinalSpan() ? 1 : 0;
  router.book->OnDemand(AccountName(request.account),
                        core::Tokens(request.max_tokens), At(m_now));
  if (TryServe(router, request)) {
    return;
  }
  if (router.partitioned || m_policy == Policy::kEqualSplit ||
      !router.book->MayBecomeSpendable(AccountName(request.account),
                                       core::Tokens(request.max_tokens))) {
    Refuse(request);
    return;
  }
  Request waiting = request;
  waiting.ends = m_now + kClaimWaitTimeout;
  router.waiting.push_back(waiting);
  router.next_heartbeat =
      std::min(router.next_heartbeat, m_now + kExpeditedDelay);
}

void Fleet::GenerateRequests() {
  double weighted_load = 0;
  for (uint32_t i = 0; i < m_options.accounts; ++i) {
    weighted_load += m_weights[i] * m_load_factors[i];
  }
  double expected = m_options.requests_per_second * weighted_load * kStep;
  while (Uniform() < expected) {
    expected -= 1;
    Request request;
    double draw = Uniform() * weighted_load;
    while (request.account + 1 < m_options.accounts &&
           draw >=
               m_weights[request.account] * m_load_factors[request.account]) {
      draw -= m_weights[request.account] * m_load_factors[request.account];
      ++request.account;
    }
    const int64_t mean =
        Uniform() < kLargeRequestShare ? kLargeTokens : kSmallTokens;
    const double factor = 1 - kSpread / 2 + kSpread * Uniform();
    request.max_tokens =
        static_cast<int64_t>(static_cast<double>(mean) * factor);
    request.used = static_cast<int64_t>(
        static_cast<double>(request.max_tokens) * kUsedShareOfMax);
    Serve(RouterFor(request.account), request);
  }
}

void Fleet::Step() {
  m_now += kStep;
  for (uint32_t i = 0; i < m_routers.size(); ++i) {
    Router& router = m_routers[i];
    if (!router.up && m_now >= router.starts_at && !router.partitioned) {
      StartRouter(i);
    }
    if (!router.up) {
      continue;
    }
    EndRequests(router);
    if (m_policy == Policy::kEqualSplit || router.partitioned) {
      continue;
    }
    ReadLog(i);
    if (m_now >= router.next_heartbeat) {
      WriteHeartbeat(i);
    }
    std::deque<Request> waiting = std::exchange(router.waiting, {});
    for (const Request& request : waiting) {
      if (TryServe(router, request)) {
        continue;
      }
      if (m_now >= request.ends ||
          !router.book->MayBecomeSpendable(AccountName(request.account),
                                           core::Tokens(request.max_tokens))) {
        Refuse(request);
        continue;
      }
      router.waiting.push_back(request);
      router.next_heartbeat =
          std::min(router.next_heartbeat, m_now + kExpeditedDelay);
    }
  }
  GenerateRequests();
}

void Fleet::RunUntil(double seconds) {
  while (m_now < seconds) {
    Step();
  }
}

void Fleet::SetPartitioned(uint32_t first, uint32_t last, bool partitioned) {
  for (uint32_t i = first; i < last; ++i) {
    m_routers[i].partitioned = partitioned;
  }
}

void Fleet::Kill(uint32_t index, End end) {
  Router& router = m_routers[index];
  if (!router.up) {
    return;
  }
  router.up = false;
  router.starts_at = m_now + kRestart;
  router.boot += end == End::kPowerFailure ? 1 : 0;
  // Running requests are charged their maximum: upstreams may have run them.
  for (const Request& request : router.running) {
    m_in_use[request.account] -= request.max_tokens;
    m_spent[request.account] += request.max_tokens;
  }
  router.running.clear();
  router.waiting.clear();
  if (m_policy == Policy::kEqualSplit) {
    // There is no record of what the router spent of its share.
    for (int64_t& left : router.split) {
      m_outcome.stranded += left;
      left = 0;
    }
    return;
  }
  router.used.clear();
  for (uint32_t i = 0; i < m_options.accounts; ++i) {
    const auto figures = router.book->FiguresOf(AccountName(i));
    router.used.push_back((figures.spent + figures.reserved).value());
  }
}

void Fleet::KillAll(End end) {
  for (uint32_t i = 0; i < m_routers.size(); ++i) {
    Kill(i, end);
  }
}

// Running requests finish before the process exits.
void Fleet::Drain(uint32_t index) {
  Router& router = m_routers[index];
  if (!router.up || router.partitioned) {
    return;
  }
  for (Request& request : router.running) {
    request.ends = m_now;
  }
  EndRequests(router);
  WriteHeartbeat(index, true);
  Kill(index, End::kProcess);
}

void Fleet::SetLoadFactor(uint32_t account, double times) {
  m_load_factors[account] = times;
}

Outcome Fleet::Finish() {
  RunUntil(m_options.end);
  for (uint32_t i = 0; i < m_options.accounts; ++i) {
    m_outcome.overspend +=
        std::max<int64_t>(0, m_spent[i] + m_in_use[i] - m_totals[i]);
  }
  return m_outcome;
}

}  // namespace coppervalve::bench
