#include "coppervalve/entry/brittleness.h"

#include <algorithm>  // clamp, max
#include <chrono>     // duration, duration_cast
#include <utility>    // exchange

namespace coppervalve::entry {

namespace {

// The upstream states it in all responses, so one that is silent for this long
// may no longer be brittle.
constexpr core::Duration kFreshFor{30'000'000};
// Part of the rejections that is allocated to the routers.
constexpr double kAllocatedShare = 0.5;
// Lower numbers, of which zero is one, lead to the longest pause.
constexpr double kMinAllocated = 0.01;
constexpr core::Duration kMinPause{1'000'000};
constexpr core::Duration kMaxPause{30'000'000};

}  // namespace

bool Brittleness::OnAnswer(std::optional<double> rejections,
                           core::TimePoint now) {
  m_stated_at = now;
  return std::exchange(m_rejections, rejections) != rejections;
}

bool Brittleness::IsBrittle(core::TimePoint now) const {
  return m_rejections && now - m_stated_at < kFreshFor;
}

// Each router causes one rejection per pause. The pauses differ, so that
// routers that were rejected at the same time do not return together.
core::TimePoint Brittleness::NextSend(const SenderPosition& position,
                                      core::TimePoint now) const {
  if (!IsBrittle(now) || !m_rejected_at) {
    return now;
  }
  const std::chrono::duration<double> pause(
      (position.routers + position.rank) /
      std::max(*m_rejections * kAllocatedShare, kMinAllocated));
  return *m_rejected_at +
         std::clamp(std::chrono::duration_cast<core::Duration>(pause),
                    kMinPause, kMaxPause);
}

}  // namespace coppervalve::entry
