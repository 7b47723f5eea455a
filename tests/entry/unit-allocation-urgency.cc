#include <CppUTest/TestHarness.h>

#include "coppervalve/entry/allocation_ledger.h"
#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::AccountId kGate("gate");
constexpr uint8_t kChat = 0;
constexpr uint8_t kDraft = 1;
constexpr core::Tokens kChatTokens(1'000);
constexpr core::Tokens kDraftTokens(12'000);

/// @brief Results of the callers of one kind.
struct Served {
  int asked = 0;
  int served = 0;
  double ServedShare() const { return asked == 0 ? 0 : 1.0 * served / asked; }
};

/// @brief Simulates one router with an account and two kinds of callers in
/// virtual time: eight chats and eight drafts per second.
class SimulatedRouter {
 public:
  explicit SimulatedRouter(core::Duration urgent_ahead)
      : m_book(Options(urgent_ahead)) {
    m_book.OnConfiguration(Prepaid(3'000'000));
  }

  /// @brief Simulates a power failure: more than half of the unspent tokens
  /// were lost with claims of the failed routers, and the rest would last four
  /// seconds.
  void LoseMostTokens() {
    v1::RouterBeat last;
    v1::AccountClaim* claim = last.add_claims();
    claim->set_account(kGate.value());
    claim->set_ceiling(2'600'000);
    claim->set_spent(2'100'000);
    m_book.OnPredecessor(last);
  }

  /// @brief Serves requests with a reachable store; missing tokens are claimed
  /// at once.
  void Serve(double seconds) {
    for (int step = 0; step * kStep < seconds; ++step) {
      const core::TimePoint now = At(step * kStep);
      if (step % 4 == 0) {
        Claim(now);
      }
      Ask(kChat, kChatTokens, now, m_chats);
      Ask(kDraft, kDraftTokens, now, m_drafts);
    }
  }
  const Served& chats() const { return m_chats; }
  const Served& drafts() const { return m_drafts; }

 private:
  static constexpr double kStep = 0.125;
  static AllocationOptions Options(core::Duration urgent_ahead) {
    AllocationOptions options;
    options.held_back = core::Duration::zero();
    options.urgent_ahead = urgent_ahead;
    return options;
  }
  void Claim(core::TimePoint now) {
    v1::RouterBeat beat;
    beat.set_epoch(1);
    beat.set_sequence(++m_sequence);
    m_book.WriteClaims(beat, {}, now);
    m_book.OnAcknowledged(m_sequence, now);
    m_book.OnOwnHeartbeat(beat);
  }
  void Ask(uint8_t rank,
           core::Tokens tokens,
           core::TimePoint now,
           Served& served) {
    ++served.asked;
    m_book.OnDemand(kGate, tokens, now, rank);
    ReserveResult got = m_book.Reserve(kGate, tokens, now, rank);
    if (got == ReserveResult::kAboveCeiling) {
      Claim(now);
      got = m_book.Reserve(kGate, tokens, now, rank);
    }
    if (got == ReserveResult::kReserved) {
      ++served.served;
      m_book.Settle(kGate, tokens, tokens, now);
    }
  }

  AllocationLedger m_book;
  uint64_t m_sequence = 0;
  Served m_chats;
  Served m_drafts;
};

}  // namespace

// clang-format off
TEST_GROUP(AllocationUrgency) {
  void ServeAfterLoss(SimulatedRouter& router) {
    router.LoseMostTokens();
    router.Serve(15);
  }
};
// clang-format on

// Guards against refusing urgent callers after a power failure of all VMs until
// an operator tops up the account, because drafts, which can wait, used up the
// one in thirteen tokens that the urgent callers need.
TEST(AllocationUrgency, after_a_loss_urgent_requests_are_served_first) {
  SimulatedRouter router(AllocationOptions{}.urgent_ahead);
  ServeAfterLoss(router);
  CHECK(router.chats().ServedShare() >= 0.9);
  SimulatedRouter first_come{core::Duration::zero()};
  ServeAfterLoss(first_come);
  CHECK(first_come.chats().ServedShare() <= 0.6);
  // The drafts lose no more tokens than the chats use.
  const int fewer = first_come.drafts().served - router.drafts().served;
  CHECK(fewer * kDraftTokens.value() <=
        (router.chats().asked + 12) * kChatTokens.value());
}

TEST(AllocationUrgency, no_request_is_refused_while_tokens_are_plentiful) {
  SimulatedRouter router(AllocationOptions{}.urgent_ahead);
  router.Serve(10);
  DOUBLES_EQUAL(1, router.chats().ServedShare(), 0.001);
  DOUBLES_EQUAL(1, router.drafts().ServedShare(), 0.001);
}
