#ifndef COPPERVALVE_TESTS_BUDGET_FAKE_FLEET_H_
#define COPPERVALVE_TESTS_BUDGET_FAKE_FLEET_H_

#include <algorithm>   // max, min
#include <cstdint>     // int64_t, uint64_t
#include <deque>       // deque
#include <functional>  // function
#include <map>         // map
#include <optional>    // optional
#include <set>         // set
#include <string>      // string
#include <utility>     // move, pair
#include <vector>      // vector

#include "coppervalve/budget/ceiling_store.h"
#include "holding_manager_fixture.h"

namespace coppervalve::budget {

inline const core::BudgetId kOnlyBudget("gate");
inline constexpr int64_t kGateHeldBack = 500;

/// One router: its holdings, the ceilings that it stores as a witness, and the
/// entries that it has still to append.
struct FakeRouter {
  FakeRouter(const PeerRef& ref, BalanceLookup balance)
      : self(ref), holdings(ref, DefaultSizing(), std::move(balance)) {}

  PeerRef self;
  HoldingManager holdings;
  CeilingStore ceiling_store;
  std::vector<Reservation> open;
  std::deque<std::vector<v1::Record>> outbox;
  uint64_t appended = 0;  ///< number of entries known to be in the log
  size_t next_offset = 0;
  bool crashed = false;
  bool paused = false;
  bool log_unavailable = false;
};

/// Minimal model of the log and its ledger, for one budget.
class FakeLog {
 public:
  using Effect = std::function<void(FakeRouter&, core::TimePoint)>;

  explicit FakeLog(int64_t paid_in) : m_paid_in(paid_in), m_free(paid_in) {}

  void Append(const PeerRef& writer,
              uint64_t sequence,
              const std::vector<v1::Record>& records) {
    LedgerHolding& own = m_holdings[writer.incarnation];
    if (sequence == own.sequence + 1) {
      own.sequence = sequence;
      for (const v1::Record& record : records) {
        ApplyRecord(writer, own, record);
      }
    }
    Emit([](FakeRouter& r, core::TimePoint now) {
      r.holdings.OnBalanceChanged(now, kOnlyBudget);
    });
  }
  void Retire(const PeerRef& ref) {
    m_holdings[ref.incarnation].retired = true;
    Emit([ref](FakeRouter& r, core::TimePoint now) {
      if (r.self == ref) {
        r.holdings.OnRetired(now);
        return;
      }
      r.ceiling_store.Close(ref);
      if (auto narrowed = r.ceiling_store.QuarantineNarrowedFor(ref)) {
        v1::Record record;
        *record.mutable_quarantine_narrowed() = std::move(*narrowed);
        r.outbox.push_back({std::move(record)});
      }
    });
  }
  void TopUp(int64_t tokens) {
    m_paid_in += tokens;
    m_free += tokens;
  }
  void ReadNext(FakeRouter& r, core::TimePoint now) const {
    if (r.next_offset < m_effects.size()) {
      m_effects[r.next_offset++](r, now);
    }
  }
  BalanceView View(const PeerRef& self) const {
    BalanceView view;
    view.free = core::Tokens(m_free);
    view.paid_in = core::Tokens(m_paid_in);
    view.gate_held_back = core::Tokens(std::min(m_free, kGateHeldBack));
    for (const auto& [incarnation, holding] : m_holdings) {
      const core::Tokens held(holding.Held());
      (holding.retired ? view.quarantined : view.held_by_others) += held;
      if (incarnation == self.incarnation && !holding.retired) {
        view.held_by_others -= held;
      }
    }
    return view;
  }

  int64_t PaidIn() const { return m_paid_in; }
  int64_t Free() const { return m_free; }
  const std::string& Fault() const { return m_fault; }
  int64_t Narrowed() const { return m_narrowed; }
  int64_t Finalized() const { return m_finalized; }
  size_t Transfers() const { return m_transfers.size(); }

 private:
  struct LedgerHolding {
    int64_t received = 0;
    int64_t spent = 0;
    int64_t out = 0;
    int64_t released = 0;
    std::optional<int64_t> ceiling;
    bool retired = false;
    uint64_t sequence = 0;
    PeerRef witness;

    int64_t Held() const { return received - spent - out - released; }
  };

  void Emit(Effect effect) { m_effects.push_back(std::move(effect)); }
  /// Records a fault that the real ledger would ignore or stop at, and which a
  /// HoldingManager must never cause.
  void Expect(bool condition, const char* fault) {
    if (!condition && m_fault.empty()) {
      m_fault = fault;
    }
  }
  int64_t Release(LedgerHolding& holding) {
    const int64_t bound = holding.ceiling.value_or(holding.received);
    const int64_t past =
        holding.Held() -
        std::max<int64_t>(0, bound - holding.spent - holding.out);
    const int64_t tokens = holding.ceiling ? std::max<int64_t>(0, past) : 0;
    holding.released += tokens;
    m_free += tokens;
    return tokens;
  }

  void ApplyRecord(const PeerRef& writer,
                   LedgerHolding& own,
                   const v1::Record& r) {
    if (r.has_transfer_recorded()) {
      ApplyTransfer(r.transfer_recorded());
    } else if (r.has_spend_finalized()) {
      for (const v1::FinalSpend& last : r.spend_finalized().budgets()) {
        ApplySpend(own, last.spent());
        own.ceiling = own.spent + own.out + last.transfers_pending();
        m_finalized += Release(own);
      }
    } else if (own.retired) {
      return;
    } else if (r.has_allotment_requested()) {
      ApplyRequest(writer, own, r.allotment_requested());
    } else if (r.has_spend_reported()) {
      ApplySpend(own, r.spend_reported().spent());
    } else if (r.has_allotment_returned()) {
      const int64_t tokens = r.allotment_returned().tokens();
      Expect(tokens <= own.Held(), "returned more than held");
      own.received -= tokens;
      m_free += tokens;
    } else if (r.has_witness_chosen()) {
      ApplyWitness(writer, own, r.witness_chosen());
    } else if (r.has_quarantine_narrowed()) {
      ApplyNarrowed(writer, r.quarantine_narrowed());
    }
  }
  void ApplyRequest(const PeerRef& writer,
                    LedgerHolding& own,
                    const v1::AllotmentRequested& r) {
    const bool gate = r.admission_class() == v1::GATE;
    const int64_t open = gate ? m_free : m_free - kGateHeldBack;
    const core::Tokens tokens(std::min(r.tokens(), open));
    const core::Sequence at(own.sequence);
    const bool granted = tokens.value() >= std::max<int64_t>(r.minimum(), 1);
    if (granted) {
      m_free -= tokens.value();
      own.received += tokens.value();
    }
    Emit([=](FakeRouter& router, core::TimePoint now) {
      if (router.self != writer) {
        return;
      }
      if (granted) {
        router.holdings.OnGranted(now, kOnlyBudget, tokens, at);
      } else {
        router.holdings.OnDenied(now, kOnlyBudget, at);
      }
    });
  }
  void ApplySpend(LedgerHolding& own, int64_t spent) {
    Expect(spent >= own.spent, "spend not monotone");
    Expect(spent - own.spent <= own.Held(), "spent more than held");
    own.spent = spent;
  }
  void ApplyWitness(const PeerRef& writer,
                    LedgerHolding& own,
                    const v1::WitnessChosen& r) {
    const PeerRef peer{core::RouterId(r.router()),
                       core::Incarnation(r.incarnation())};
    const bool none = r.router().empty();
    const bool refused = !none && m_holdings[peer.incarnation].retired;
    if (!refused) {
      own.witness = peer;
    }
    Emit([=](FakeRouter& router, core::TimePoint) {
      if (router.self != writer) {
        return;
      }
      if (refused) {
        router.holdings.OnWitnessRefused(peer);
      } else {
        router.holdings.OnWitnessInForce(none ? std::nullopt
                                              : std::optional(peer));
      }
    });
  }
  void ApplyNarrowed(const PeerRef& writer, const v1::QuarantineNarrowed& r) {
    LedgerHolding& retired = m_holdings[core::Incarnation(r.incarnation())];
    if (!retired.retired || retired.witness != writer) {
      return;
    }
    const int64_t reported = r.ceilings_size() > 0 ? r.ceilings(0).tokens() : 0;
    const int64_t ceiling = std::max(reported, retired.spent + retired.out);
    retired.ceiling = std::min(retired.ceiling.value_or(ceiling), ceiling);
    m_narrowed += Release(retired);
  }
  void ApplyTransfer(const v1::TransferRecorded& r) {
    if (!m_transfers.emplace(r.from_incarnation(), r.transfer_id()).second) {
      return;
    }
    LedgerHolding& from = m_holdings[core::Incarnation(r.from_incarnation())];
    LedgerHolding& to = m_holdings[core::Incarnation(r.to_incarnation())];
    Expect(r.tokens() <= from.Held(), "transferred more than held");
    from.out += r.tokens();
    to.received += r.tokens();
    Release(to);
    Emit([r](FakeRouter& router, core::TimePoint now) {
      router.holdings.OnTransferApplied(now, r);
    });
  }

  int64_t m_paid_in;
  int64_t m_free;
  std::map<core::Incarnation, LedgerHolding> m_holdings;
  std::set<std::pair<uint64_t, uint64_t>> m_transfers;
  std::vector<Effect> m_effects;
  std::string m_fault;
  int64_t m_narrowed = 0;   ///< tokens released by QuarantineNarrowed
  int64_t m_finalized = 0;  ///< tokens released by final reports
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_TESTS_BUDGET_FAKE_FLEET_H_
