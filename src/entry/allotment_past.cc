// Losses and outages of this and previous incarnations.
#include <algorithm>  // max, min

#include "coppervalve/entry/allotment_book.h"

namespace coppervalve::entry {

namespace {

// Covers the time until the next claim and until that claim is read back.
constexpr double kPeriodsAhead = 1.5;

}  // namespace

// The loss is relative to all tokens that could still be spent, so a loss late
// in the day weighs as much as an early one, and a reserve that was provably
// not spent is not counted. The totals may arrive after the previous
// incarnation's record, so this waits for them.
void AllotmentBook::CountLoss() {
  core::Tokens lost(0);
  core::Tokens spendable(0);
  for (const auto& [account, entry] : m_entries) {
    if (entry.total) {
      lost += entry.just_lost;
      spendable += Spendable(entry);
    }
  }
  const core::Tokens all = lost + spendable;
  if (m_loss_counted || all <= core::Tokens(0)) {
    return;
  }
  m_loss_counted = true;
  const double part =
      static_cast<double>(lost.value()) / static_cast<double>(all.value());
  m_past.OnLoss(part / m_options.most_held);
}

LivedThrough AllotmentBook::Past() const {
  LivedThrough all = m_past.own();
  for (const auto& [router, past] : m_others_past) {
    all.losses += past.losses;
    all.outages += past.outages;
  }
  return all;
}

// A router with a long claim period cannot claim for single requests, so its
// headroom must last until its next claim is read back.
double AllotmentBook::LeastHold() const {
  if (!m_context.active) {
    return 0;
  }
  const auto lasts = m_context.period * kPeriodsAhead;
  return std::min(std::chrono::duration<double>(lasts) /
                      std::chrono::duration<double>(m_options.ahead),
                  m_options.hold.most);
}

// The history is kept in heartbeats across restarts. Without it every
// incarnation would hold as much ahead as the first one, and each loss would
// take the same share of the remaining tokens until none is left.
void AllotmentBook::RecallPast(v1::RouterBeat& beat) {
  CountLoss();
  HoldOptions hold = m_options.hold;
  hold.least = std::max(hold.least, LeastHold());
  m_hold = entry::HoldFactor(hold, Past());
  beat.set_losses(m_past.own().losses);
  beat.set_outages(m_past.own().outages);
}

}  // namespace coppervalve::entry
