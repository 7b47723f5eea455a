#include "bench/fleet/router_costs.h"

#include <algorithm>  // max
#include <cmath>      // log
#include <pcg_random.hpp>
#include <utility>  // move

#include "bench/capacity/allocations.h"
#include "coppervalve/entry/allocation_ledger.h"
#include "coppervalve/entry/member_list.h"
#include "coppervalve/entry/placement.h"
#include "coppervalve/entry/upstream_directory.h"

namespace coppervalve::bench {

namespace {

using namespace coppervalve::entry;

constexpr size_t kUpstreamsPerRouter = 10;
constexpr size_t kRoutersPerAccount = 3;
constexpr size_t kDomains = 5;
// One router in twenty is large.
constexpr size_t kRoutersPerLargeOne = 20;
constexpr double kLargeCapacity = 500;
constexpr double kSmallCapacity = 50;
constexpr double kLoadPerRouter = 1.1;
constexpr int64_t kPrepaid = 100'000'000;
constexpr double kMicrosPerSecond = 1e6;
const core::ServiceId kService("engines");

core::TimePoint At(double seconds) {
  return core::TimePoint(
      core::Duration(static_cast<int64_t>(seconds * kMicrosPerSecond)));
}

core::RouterId RouterName(size_t number) {
  return core::RouterId("router-" + std::to_string(number));
}

core::FailureDomainId DomainOf(size_t number) {
  return core::FailureDomainId("fd-" + std::to_string(number % kDomains));
}

UpstreamRecord RecordOf(size_t number, uint32_t slots) {
  UpstreamEntry entry;
  entry.id = core::UpstreamId("upstream-" + std::to_string(number));
  entry.service = kService;
  entry.address = "10.0.0.1:" + std::to_string(number);
  entry.failure_domain = DomainOf(number);
  entry.slots = slots;
  return {entry.id, entry, At(0)};
}

v1::RouterBeat HeartbeatOf(size_t router, uint64_t sequence, size_t accounts) {
  v1::RouterBeat beat;
  beat.set_epoch(1);
  beat.set_sequence(sequence);
  beat.set_caller_address("10.1.0.1:" + std::to_string(router));
  beat.set_load_address("10.2.0.1:" + std::to_string(router));
  beat.set_failure_domain(DomainOf(router).value());
  beat.set_ready(true);
  beat.set_capacity(router % kRoutersPerLargeOne == 0 ? kLargeCapacity
                                                      : kSmallCapacity);
  beat.set_load(kLoadPerRouter);
  for (size_t account = 0; account < accounts; ++account) {
    v1::AccountClaim* claim = beat.add_claims();
    claim->set_account("account-" + std::to_string(account));
    claim->set_ceiling(static_cast<int64_t>(1'000 + sequence));
    claim->set_spent(static_cast<int64_t>(sequence));
  }
  return beat;
}

/// A router with the state that a fleet of some size gives it.
class RouterState {
 public:
  explicit RouterState(const FleetSize& size)
      : m_size(size),
        m_members(RouterName(0), core::Duration(3'500'000), m_contacts),
        m_placer({}, DomainOf(0), m_loads, m_gate, [this] {
          return m_random();
        }) {
    Configuration configuration;
    for (size_t i = 0; i < size.accounts; ++i) {
      Account account;
      account.name = core::AccountId("account-" + std::to_string(i));
      account.prepaid = core::Tokens(kPrepaid);
      configuration.accounts.push_back(account);
    }
    m_ledger.OnConfiguration(configuration);
    m_store.OnAnswer(At(0));
    for (size_t i = 0; i < size.routers; ++i) {
      ReadHeartbeat(i, 1, 0);
    }
    m_members.Refresh(At(0));
    ReadTable();
  }

  void ReadTable() {
    std::vector<UpstreamRecord> records;
    for (size_t i = 0; i < m_size.upstreams; ++i) {
      records.push_back(RecordOf(i, 12));
    }
    m_directory.ReplaceAll(records, m_store, At(0));
  }
  void ReadHeartbeat(size_t router, uint64_t sequence, size_t accounts) {
    const v1::RouterBeat beat = HeartbeatOf(router, sequence, accounts);
    m_members.OnHeartbeat(RouterName(router), beat);
    m_ledger.OnPeerHeartbeat(RouterName(router), beat, At(1));
  }
  void Tick() {
    m_now += 0.2;
    m_members.Advance(m_store, At(m_now));
  }
  Placement Place(size_t request) {
    PlacementQuery query;
    query.service = kService;
    query.engine = true;
    query.prompt = core::Tokens(600);
    query.shared_tokens = core::Tokens(100);
    query.shared_prefix = "session-" + std::to_string(request);
    return m_placer.Choose(m_directory, query, At(m_now));
  }
  UpstreamDirectory& directory() { return m_directory; }
  const MemberList& members() const { return m_members; }
  AllocationLedger& ledger() { return m_ledger; }
  const FleetSize& size() const { return m_size; }

 private:
  FleetSize m_size;
  pcg64 m_random{20261203};
  double m_now = 1;
  StoreContact m_store;
  PeerContact m_contacts{core::Duration(1'200'000), core::Duration(5'000'000)};
  PeerLoads m_loads{core::Duration(800'000)};
  UpstreamGate m_gate;
  UpstreamDirectory m_directory{DirectoryOptions{}};
  AllocationLedger m_ledger{AllocationOptions{}};
  MemberList m_members;
  Placer m_placer;
};

/// Runs an event a few times and averages.
class EventMeter {
 public:
  template <typename Run>
  void Measure(const std::string& event, size_t times, Run run) {
    EventCost cost;
    cost.event = event;
    const uint64_t before = CountAllocations().calls;
    const int64_t began = ThreadCpuNanoseconds();
    for (size_t i = 0; i < times; ++i) {
      cost.looked_at += run(i);
    }
    constexpr double kNanosPerMicro = 1e3;
    const auto count = static_cast<double>(times);
    cost.microseconds = static_cast<double>(ThreadCpuNanoseconds() - began) /
                        kNanosPerMicro / count;
    cost.allocations =
        static_cast<double>(CountAllocations().calls - before) / count;
    cost.looked_at /= count;
    m_costs.push_back(std::move(cost));
  }
  std::vector<EventCost> TakeCosts() { return std::move(m_costs); }

 private:
  std::vector<EventCost> m_costs;
};

}  // namespace

FleetSize SizeFor(size_t routers) {
  return {routers, routers * kUpstreamsPerRouter, routers / kRoutersPerAccount};
}

std::vector<EventCost> MeasureRouterCosts(const FleetSize& size) {
  constexpr size_t kFew = 20;
  constexpr size_t kMany = 400;
  RouterState router(size);
  EventMeter meter;
  meter.Measure("heartbeat of a standby", kMany, [&](size_t i) {
    router.ReadHeartbeat(1 + i % (size.routers - 1), 2 + i, 0);
    return 1.0;
  });
  meter.Measure("heartbeat with claims", kFew, [&](size_t i) {
    router.ReadHeartbeat(1, 1'000 + i, size.accounts);
    return static_cast<double>(size.accounts);
  });
  meter.Measure("tick", kFew, [&](size_t /*i*/) {
    router.Tick();
    return static_cast<double>(size.routers);
  });
  meter.Measure("view of the fleet", kFew, [&](size_t /*i*/) {
    const FleetView view = router.members().View();
    return static_cast<double>(view.active.size() + view.next.size());
  });
  meter.Measure("request placed", kMany, [&](size_t i) {
    return static_cast<double>(router.Place(i).candidates);
  });
  meter.Measure("claims written", kFew, [&](size_t i) {
    v1::RouterBeat beat;
    beat.set_sequence(i + 1);
    ClaimContext context;
    context.routers = router.members().ActiveCount();
    router.ledger().WriteClaims(beat, context, At(2));
    return static_cast<double>(beat.claims_size());
  });
  meter.Measure("upstream changed", kMany, [&](size_t i) {
    router.directory().OnRecord(RecordOf(i % size.upstreams, 13));
    return 1.0;
  });
  meter.Measure("upstream new", kMany, [&](size_t i) {
    router.directory().OnRecord(RecordOf(size.upstreams + i, 12));
    return 1.0;
  });
  meter.Measure("upstream gone", kMany, [&](size_t i) {
    router.directory().OnRecord(
        {RecordOf(size.upstreams + i, 12).id, std::nullopt, At(2)});
    return 1.0;
  });
  meter.Measure("first list of upstreams", 1, [&](size_t /*i*/) {
    RouterState fresh({2, size.upstreams, 0});
    return static_cast<double>(size.upstreams);
  });
  return meter.TakeCosts();
}

double GrowthExponent(const std::vector<double>& routers,
                      const std::vector<double>& costs) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  const auto count = static_cast<double>(routers.size());
  for (size_t i = 0; i < routers.size(); ++i) {
    const double x = std::log(routers[i]);
    const double y = std::log(std::max(costs[i], 1e-3));
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
  }
  return (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
}

}  // namespace coppervalve::bench
