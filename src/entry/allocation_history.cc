// Losses and outages of this and previous incarnations.
#include <algorithm>  // max, min

#include "coppervalve/entry/allocation_ledger.h"

namespace coppervalve::entry {

namespace {

// Covers the time until the next claim and until that claim is read back.
constexpr double kMinHeldPeriods = 1.5;

}  // namespace

// The loss is relative to all tokens that could still be spent, so a loss late
// in the day weighs as much as an early one, and a reserve that was provably
// not spent is not counted. The totals may arrive after the previous
// incarnation's record, so this waits for them.
void AllocationLedger::RecordLoss() {
  core::Tokens lost(0);
  core::Tokens spendable(0);
  for (const auto& [account, state] : m_accounts) {
    if (state.total) {
      lost += state.lost_at_restart;
      spendable += Spendable(state);
    }
  }
  const core::Tokens all = lost + spendable;
  if (m_loss_recorded || all <= core::Tokens(0)) {
    return;
  }
  m_loss_recorded = true;
  const double part =
      static_cast<double>(lost.value()) / static_cast<double>(all.value());
  m_history.OnLoss(part / m_options.most_held);
}

LossHistory AllocationLedger::History() const {
  LossHistory all = m_history.own();
  for (const auto& [router, history] : m_peer_histories) {
    all.losses += history.losses;
    all.outages += history.outages;
  }
  return all;
}

// A router with a long claim period cannot claim for single requests, so its
// headroom must last until its next claim is read back.
double AllocationLedger::MinHoldFactor() const {
  if (!m_context.active) {
    return 0;
  }
  const auto lasts = m_context.period * kMinHeldPeriods;
  return std::min(std::chrono::duration<double>(lasts) /
                      std::chrono::duration<double>(m_options.ahead),
                  m_options.hold.most);
}

// The history is kept in heartbeats across restarts. Without it every
// incarnation would hold as much ahead as the first one, and each loss would
// take the same share of the remaining tokens until none is left.
void AllocationLedger::UpdateHistory(v1::RouterBeat& beat) {
  RecordLoss();
  HoldOptions hold = m_options.hold;
  hold.least = std::max(hold.least, MinHoldFactor());
  m_hold_factor = entry::HoldFactor(hold, History());
  beat.set_losses(m_history.own().losses);
  beat.set_outages(m_history.own().outages);
}

}  // namespace coppervalve::entry
