#include "coppervalve/entry/gift_memory.h"

namespace coppervalve::entry {

namespace {

// A duplicate datagram that arrives later than this takes tokens once more.
// They remain unused, and the total is not exceeded.
constexpr core::Duration kRemembered{10'000'000};

}  // namespace

GiftMemory::Key GiftMemory::KeyOf(const v1::TokenAsk& ask) {
  return {core::RouterId(ask.router()), ask.epoch(), ask.id()};
}

std::optional<core::Tokens> GiftMemory::Answered(
    const v1::TokenAsk& ask) const {
  const auto found = m_answers.find(KeyOf(ask));
  if (found == m_answers.end()) {
    return std::nullopt;
  }
  return found->second;
}

void GiftMemory::Remember(const v1::TokenAsk& ask,
                          core::Tokens given,
                          core::TimePoint now) {
  m_answers[KeyOf(ask)] = given;
  m_order.emplace_back(now, KeyOf(ask));
  while (now - m_order.front().first > kRemembered) {
    m_answers.erase(m_order.front().second);
    m_order.pop_front();
  }
}

}  // namespace coppervalve::entry
