#include <CppUTest/TestHarness.h>

#include <deque>           // deque
#include <functional>      // function
#include <iostream>        // cerr
#include <pcg_random.hpp>  // pcg32
#include <string>          // string, to_string
#include <utility>         // move
#include <vector>          // vector

#include "fake_fleet.h"

using namespace coppervalve;
using namespace coppervalve::budget;
using core::Tokens;

namespace {

constexpr int64_t kPaidIn = 20'000;
constexpr uint32_t kInitialRouters = 3;
constexpr uint32_t kMaxRouters = 10;
constexpr uint32_t kLargestBound = 300;
constexpr int kSteps = 4'000;
constexpr uint64_t kSeeds = 400;
constexpr size_t kMaxTraceLines = 80;

/// A fleet with random requests, lost, repeated and reordered messages, pauses,
/// crashes, retirements and log outages.
class RandomFleet {
 public:
  explicit RandomFleet(uint64_t seed) : m_random(seed), m_log(kPaidIn) {
    while (m_routers.size() < kInitialRouters) {
      AddRouter();
    }
  }

  void Step() {
    m_now += std::chrono::milliseconds(RandomBelow(20));
    FakeRouter& r = AnyRouter();
    if (RandomBelow(100) < 2) {
      InjectFault(r);
    } else if (RandomBelow(3) == 0) {
      DeliverOne();
    } else if (!r.crashed && !r.paused) {
      RunAction(r);
    }
  }

  /// @return the first fault found; empty when there is none
  std::string Check() const {
    // The free balance can be granted to other routers at any time, so it
    // counts as used.
    int64_t claimed = m_log.Free();
    for (const FakeRouter& r : m_routers) {
      const HoldingTotals& totals = r.holdings.Totals();
      claimed += totals.spent.value() + totals.reserved.value();
      const core::Status status = r.holdings.CheckInvariants();
      if (!core::IsOk(status)) {
        return core::ToString(core::Failure(status));
      }
    }
    return claimed > m_log.PaidIn() ? "overspent" : m_log.Fault();
  }

  const FakeLog& Log() const { return m_log; }
  const std::deque<std::string>& Trace() const { return m_trace; }

 private:
  struct Message {
    PeerRef to;
    std::function<void(FakeRouter&)> deliver;
  };

  uint32_t RandomBelow(uint32_t bound) { return m_random(bound); }
  FakeRouter& AnyRouter() {
    return m_routers[RandomBelow(static_cast<uint32_t>(m_routers.size()))];
  }
  void AddTrace(const FakeRouter& r, const std::string& text) {
    m_trace.push_back(r.self.router.value() + " " + text);
    if (m_trace.size() > kMaxTraceLines) {
      m_trace.pop_front();
    }
  }
  void AddRouter() {
    const PeerRef self = Peer(m_routers.size() + 1);
    m_routers.emplace_back(self, [this, self](const core::BudgetId&) {
      return std::optional(m_log.View(self));
    });
    m_routers.back().holdings.OnActiveRouters(kInitialRouters);
  }

  void InjectFault(FakeRouter& r) {
    switch (RandomBelow(16)) {
      case 0:
        AddTrace(r, "crashes");
        r.crashed = true;
        break;
      case 1:
        AddTrace(r, "is retired");
        m_log.Retire(r.self);
        break;
      case 2:
      case 3:
      case 4:
        AddTrace(r, "pauses or resumes");
        r.paused = !r.paused;
        break;
      case 5:
        AddTrace(r, "log becomes unavailable or available");
        r.log_unavailable = !r.log_unavailable;
        r.holdings.OnLogState(r.log_unavailable);
        break;
      case 6:
        m_log.TopUp(RandomBelow(4'000));
        break;
      case 7:
        if (m_routers.size() < kMaxRouters) {
          AddRouter();
        }
        break;
      default:
        ChooseWitness(r);
    }
  }
  void ChooseWitness(FakeRouter& r) {
    const PeerRef peer = AnyRouter().self;
    const bool none = peer == r.self;
    AddTrace(r, "chooses witness " + (none ? "none" : peer.router.value()));
    r.holdings.ChooseWitness(m_now, none ? std::nullopt : std::optional(peer));
  }

  void RunAction(FakeRouter& r) {
    r.holdings.TakeWokenBudgets();
    switch (RandomBelow(9)) {
      case 0:
      case 1:
      case 2:
        Reserve(r);
        break;
      case 3:
      case 4:
        EndReservation(r);
        break;
      case 5:
        Send(r);
        break;
      case 6:
        Append(r);
        break;
      default:
        for (uint32_t i = RandomBelow(8); i > 0 && !r.log_unavailable; --i) {
          m_log.ReadNext(r, m_now);
        }
    }
  }
  void Reserve(FakeRouter& r) {
    const Tokens bound(1 + RandomBelow(kLargestBound));
    const auto admission_class =
        RandomBelow(3) == 0 ? v1::GATE : v1::INTERACTIVE;
    const ReserveResult result =
        r.holdings.Reserve(m_now, kOnlyBudget, bound, admission_class);
    if (const auto* reservation = std::get_if<Reservation>(&result)) {
      AddTrace(r, "reserves " + std::to_string(bound.value()));
      r.open.push_back(*reservation);
    }
  }
  void EndReservation(FakeRouter& r) {
    if (r.open.empty()) {
      return;
    }
    const Reservation reservation = r.open.back();
    r.open.pop_back();
    if (RandomBelow(5) == 0) {
      r.holdings.Cancel(m_now, reservation);
      return;
    }
    // Some upstreams exceed their bound.
    const int64_t most =
        reservation.bound.value() * (RandomBelow(20) == 0 ? 3 : 1);
    const Tokens spent(RandomBelow(static_cast<uint32_t>(most + 1)));
    AddTrace(r, "settles " + std::to_string(spent.value()));
    r.holdings.Settle(m_now, reservation, spent, Unkeyed{});
  }
  void Append(FakeRouter& r) {
    if (r.outbox.empty() || r.log_unavailable) {
      return;
    }
    m_log.Append(r.self, r.appended + 1, r.outbox.front());
    AddTrace(r, "appends");
    if (RandomBelow(4) == 0) {
      return;  // the reply is lost, so the same entry is appended again
    }
    ++r.appended;
    r.outbox.pop_front();
  }

  void SendMessage(const PeerRef& to,
                   const std::function<void(FakeRouter&)>& deliver) {
    const uint32_t copies = RandomBelow(10) == 0 ? 0 : 1 + RandomBelow(5) / 4;
    for (uint32_t i = 0; i < copies; ++i) {
      m_network.push_back({to, deliver});
    }
  }
  void DeliverOne() {
    if (m_network.empty()) {
      return;
    }
    const size_t index = RandomBelow(static_cast<uint32_t>(m_network.size()));
    const Message message = m_network[index];
    for (FakeRouter& r : m_routers) {
      if (r.self == message.to && r.paused && !r.crashed) {
        return;  // delivered later
      }
    }
    m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    for (FakeRouter& r : m_routers) {
      if (r.self == message.to && !r.crashed) {
        message.deliver(r);
      }
    }
  }
  void Send(FakeRouter& r) {
    r.holdings.OnTick(m_now);
    std::vector<v1::Record> records = r.holdings.TakeRecords(m_now);
    if (!records.empty()) {
      r.outbox.push_back(std::move(records));
    }
    const PeerRef self = r.self;
    for (const CeilingRaiseTo& raise : r.holdings.TakeCeilingRaises(m_now)) {
      SendMessage(raise.to, [this, self, raise](FakeRouter& to) {
        const v1::CeilingAck ack =
            to.ceiling_store.OnCeilingRaise(self, raise.raise);
        SendMessage(self, [this, witness = to.self, ack](FakeRouter& back) {
          back.holdings.OnCeilingAck(m_now, witness, ack);
        });
      });
    }
    for (const TransferAskTo& ask : r.holdings.TakeTransferAsks(m_now)) {
      SendMessage(ask.to, [this, self, ask](FakeRouter& to) {
        to.holdings.OnTransferAsk(m_now, self, ask.ask);
      });
    }
    for (const TransferSendTo& send : r.holdings.TakeTransferSends(m_now)) {
      AddTrace(r, "transfers " + std::to_string(send.send.tokens()));
      SendMessage(send.to, [this, self, send](FakeRouter& to) {
        const auto ack = to.holdings.OnTransferSend(m_now, self, send.send);
        if (!ack) {
          return;
        }
        SendMessage(self, [peer = to.self, ack](FakeRouter& back) {
          back.holdings.OnTransferAck(peer, *ack);
        });
      });
    }
    const std::vector<v1::Spare> spares = r.holdings.TakeSpares(m_now);
    SendMessage(AnyRouter().self, [this, self, spares](FakeRouter& to) {
      to.holdings.OnPeerSpares(m_now, self, spares);
    });
  }

  pcg32 m_random;
  FakeLog m_log;
  core::TimePoint m_now{std::chrono::seconds(100)};
  std::deque<FakeRouter> m_routers;
  std::vector<Message> m_network;
  std::deque<std::string> m_trace;
};

/// @return whether all steps passed; otherwise prints seed, step and trace
bool Run(RandomFleet& fleet, uint64_t seed) {
  for (int step = 0; step < kSteps; ++step) {
    fleet.Step();
    const std::string fault = fleet.Check();
    if (fault.empty()) {
      continue;
    }
    std::cerr << "seed " << seed << ", step " << step << ": " << fault << "\n";
    for (const std::string& line : fleet.Trace()) {
      std::cerr << "  " << line << "\n";
    }
    return false;
  }
  return true;
}

}  // namespace

// clang-format off
TEST_GROUP(Random){};
// clang-format on

// No mix of faults may let accounts use more tokens than were paid in. The sums
// show that the runs reach narrowing, final reports and transfers.
TEST(Random, no_fleet_commits_more_than_was_paid_in) {
  int64_t narrowed = 0;
  int64_t finalized = 0;
  size_t transfers = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFleet fleet(seed);
    CHECK(Run(fleet, seed));
    narrowed += fleet.Log().Narrowed();
    finalized += fleet.Log().Finalized();
    transfers += fleet.Log().Transfers();
  }
  CHECK(narrowed > 0);
  CHECK(finalized > 0);
  CHECK(transfers > 0);
}
