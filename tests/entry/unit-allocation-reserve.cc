#include "coppervalve/entry/allocation_ledger.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

const core::AccountId kGate("gate");

}  // namespace

// clang-format off
TEST_GROUP(AllocationReserve) {
  static constexpr int64_t kTotal = 1'000'000;
  AllocationOptions options;
  AllocationLedger book{options};
  v1::RouterBeat written;
  uint64_t sequence = 0;
  void setup() override { book.OnConfiguration(Prepaid(kTotal)); }

  /// Writes claims at a time of the VM's clock, without an acknowledgment.
  void AppendClaims(double now) {
    written = v1::RouterBeat();
    written.set_epoch(1);
    written.set_sequence(++sequence);
    written.set_boot("boot-1");
    written.set_written_at(At(now).time_since_epoch().count());
    written.set_not_before(
        (At(now) + options.held_back).time_since_epoch().count());
    ClaimContext context;
    context.routers = 3;
    book.WriteClaims(written, context, At(now));
  }
  void WriteAndAcknowledge(double now) {
    AppendClaims(now);
    book.OnAcknowledged(written.sequence(), At(now));
    book.OnOwnHeartbeat(written);
  }
  /// Sends requests at a steady rate; they are served while tokens last.
  int64_t Spend(double from, double to, int64_t per_second) {
    constexpr double kStep = 0.05;
    const auto each = core::Tokens(static_cast<int64_t>(
        static_cast<double>(per_second) * kStep));
    int64_t spent = 0;
    for (double now = from; now < to; now += kStep) {
      book.OnDemand(kGate, each, At(now));
      if (book.Reserve(kGate, each, At(now)) == ReserveResult::kReserved) {
        book.Settle(kGate, each, each, At(now));
        spent += each.value();
      }
    }
    return spent;
  }
  /// The same with claims written twice a second.
  /// @return tokens spent
  int64_t Run(double to, int64_t per_second) {
    int64_t spent = 0;
    for (double now = 0; now < to; now += 0.5) {
      WriteAndAcknowledge(now);
      spent += Spend(now, now + 0.5, per_second);
    }
    return spent;
  }
  int64_t Early() {
    return written.claims(0).ceiling() - written.claims(0).reserve();
  }
};
// clang-format on

TEST(AllocationReserve, the_reserve_is_not_spent_before_its_time) {
  // A successor assumes that a crashed process spent only the part of its claim
  // before the reserve. If the reserve were spent before the stated time, its
  // tokens would be granted twice.
  Run(10, 5'000);
  WriteAndAcknowledge(10);
  CHECK(written.claims(0).reserve() > 0);
  Spend(10, 12.45, 50'000);
  const auto before = book.FiguresOf(kGate);
  CHECK((before.spent + before.reserved).value() <= Early());
  // During a partition no claims are written; from here on the reserve is
  // spendable.
  Spend(12.55, 14, 50'000);
  const auto after = book.FiguresOf(kGate);
  CHECK((after.spent + after.reserved).value() > Early());
}

TEST(AllocationReserve, a_higher_limit_applies_only_once_it_is_acknowledged) {
  // The process may crash before its higher claim is written; its successor
  // then finds the previous record.
  Run(10, 5'000);
  WriteAndAcknowledge(10);
  const int64_t early = Early();
  const auto more =
      core::Tokens(early - book.FiguresOf(kGate).spent.value() + 10);
  CHECK(book.Reserve(kGate, more, At(10.1)) == ReserveResult::kAboveCeiling);
  AppendClaims(10.2);
  CHECK(Early() > early);
  CHECK(book.Reserve(kGate, more, At(10.2)) == ReserveResult::kAboveCeiling);
  book.OnAcknowledged(written.sequence(), At(10.2));
  CHECK(book.Reserve(kGate, more, At(10.2)) == ReserveResult::kReserved);
}

TEST(AllocationReserve, a_lower_limit_applies_at_once) {
  Run(10, 5'000);
  WriteAndAcknowledge(10);
  const int64_t early = Early();
  // Without requests the next claim is lower.
  AppendClaims(30);
  CHECK(Early() < early);
  const auto all = core::Tokens(early - book.FiguresOf(kGate).spent.value());
  CHECK(book.Reserve(kGate, all, At(30.1)) == ReserveResult::kAboveCeiling);
}

TEST(AllocationReserve, the_time_when_the_reserve_becomes_spendable_is_known) {
  Run(10, 5'000);
  WriteAndAcknowledge(10);
  const auto figures = book.FiguresOf(kGate);
  const core::Tokens all = figures.ceiling - figures.spent;
  const auto at = book.SpendableAt(kGate, all, At(11));
  CHECK(at && *at == At(10) + options.held_back);
  CHECK_FALSE(book.SpendableAt(kGate, all + core::Tokens(1), At(11)));
}

TEST(AllocationReserve, a_crash_loses_only_the_part_before_the_reserve) {
  // Guards against refusing callers for the rest of the day after a crash of
  // all processes, when nine seconds of work had been claimed and counted as
  // spent.
  const int64_t spent = Run(15, 10'000);
  const v1::AccountClaim& last = written.claims(0);
  const auto lost_without = last.ceiling() - spent;
  AllocationLedger successor{options};
  successor.OnConfiguration(Prepaid(kTotal));
  successor.OnPredecessor(written, true);
  const auto counted = successor.FiguresOf(kGate).others.value();
  CHECK(counted >= spent);
  CHECK(counted - spent < lost_without / 2);
  // Without the proof the whole claim is lost.
  AllocationLedger unproved{options};
  unproved.OnConfiguration(Prepaid(kTotal));
  unproved.OnPredecessor(written, false);
  CHECK_EQUAL(last.ceiling(), unproved.FiguresOf(kGate).others.value());
}
