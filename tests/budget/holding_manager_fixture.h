#ifndef COPPERVALVE_TESTS_BUDGET_HOLDING_MANAGER_FIXTURE_H_
#define COPPERVALVE_TESTS_BUDGET_HOLDING_MANAGER_FIXTURE_H_

#include <cstdint>   // int64_t, uint64_t
#include <optional>  // optional
#include <string>    // string
#include <utility>   // move
#include <variant>   // get_if, holds_alternative
#include <vector>    // vector

#include "coppervalve/budget/holding_manager.h"

namespace coppervalve::budget {

inline PeerRef Peer(uint64_t number) {
  return {core::RouterId("r" + std::to_string(number)),
          core::Incarnation(number)};
}

/// One HoldingManager with one budget. The test acts as its log and its peers.
class HoldingManagerFixture {
 public:
  explicit HoldingManagerFixture(uint64_t number = 1,
                                 SizingPolicy policy = DefaultSizing())
      : m_holdings(Peer(number),
                   std::move(policy),
                   [this](const core::BudgetId&) { return m_balance; }) {
    SetBalance(1'000'000, 1'000'000);
  }

  HoldingManager& holdings() { return m_holdings; }
  core::TimePoint now() const { return m_now; }
  void Advance(int64_t milliseconds) {
    m_now += std::chrono::milliseconds(milliseconds);
    m_holdings.OnTick(m_now);
  }
  /// Advances time without a tick, as in a paused process.
  void AdvanceWithoutTick(int64_t milliseconds) {
    m_now += std::chrono::milliseconds(milliseconds);
  }
  void SetBalance(int64_t free, int64_t paid_in, int64_t others = 0) {
    m_balance = BalanceView{};
    m_balance->free = core::Tokens(free);
    m_balance->paid_in = core::Tokens(paid_in);
    m_balance->held_by_others = core::Tokens(others);
  }
  void HoldBackForGate(int64_t tokens) {
    m_balance->gate_held_back = core::Tokens(tokens);
  }

  ReserveResult Reserve(int64_t bound,
                        v1::AdmissionClass admission_class = v1::INTERACTIVE) {
    return m_holdings.Reserve(m_now, m_budget, core::Tokens(bound),
                              admission_class);
  }
  std::optional<Reservation> TryReserve(int64_t bound) {
    const ReserveResult result = Reserve(bound);
    const auto* reservation = std::get_if<Reservation>(&result);
    return reservation ? std::optional(*reservation) : std::nullopt;
  }
  bool Waits(int64_t bound, WaitReason reason) {
    const ReserveResult result = Reserve(bound);
    const auto* wait = std::get_if<Wait>(&result);
    return wait != nullptr && wait->reason == reason;
  }
  bool Refuses(int64_t bound, core::ErrorId id) {
    const ReserveResult result = Reserve(bound);
    const auto* error = std::get_if<core::Error>(&result);
    return error != nullptr && error->id == id;
  }

  std::vector<v1::Record> Records() { return m_holdings.TakeRecords(m_now); }
  /// @return the cumulative spend reported now, or -1
  int64_t ReportedSpend() {
    int64_t spent = -1;
    for (const v1::Record& record : Records()) {
      spent =
          record.has_spend_reported() ? record.spend_reported().spent() : spent;
    }
    return spent;
  }
  bool ChoosesWitness() {
    bool chosen = false;
    for (const v1::Record& record : Records()) {
      chosen = chosen || record.has_witness_chosen();
    }
    return chosen;
  }
  /// Grants `tokens` in response to a small waiting request.
  void Grant(int64_t tokens) {
    Reserve(1);
    Records();
    m_holdings.OnGranted(m_now, m_budget, core::Tokens(tokens),
                         core::Sequence(++m_sequence));
    m_holdings.TakeWokenBudgets();
  }
  /// Puts a witness in force: it acknowledges the full list, and the ledger
  /// applies the record.
  void UseWitness(const PeerRef& witness) {
    m_holdings.ChooseWitness(m_now, witness);
    AckRaises();
    Records();
    m_holdings.OnWitnessInForce(witness);
  }
  void AckRaises() {
    for (const CeilingRaiseTo& raise : m_holdings.TakeCeilingRaises(m_now)) {
      Ack(raise);
    }
  }
  void Ack(const CeilingRaiseTo& raise) {
    v1::CeilingAck ack;
    ack.set_serial(raise.raise.serial());
    m_holdings.OnCeilingAck(m_now, raise.to, ack);
  }
  void ReceiveTransferAsk(const PeerRef& peer, int64_t tokens) {
    v1::TransferAsk ask;
    ask.set_budget(m_budget.value());
    ask.set_tokens(tokens);
    m_holdings.OnTransferAsk(m_now, peer, ask);
  }
  int64_t Held() const { return m_holdings.StatusOf(m_budget)->held(); }
  int64_t Ceiling() const { return m_holdings.StatusOf(m_budget)->ceiling(); }
  const core::BudgetId& budget() const { return m_budget; }

 private:
  core::BudgetId m_budget{"gate"};
  core::TimePoint m_now{std::chrono::seconds(100)};
  std::optional<BalanceView> m_balance;
  uint64_t m_sequence = 0;
  HoldingManager m_holdings;
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_TESTS_BUDGET_HOLDING_MANAGER_FIXTURE_H_
