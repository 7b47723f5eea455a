#include "coppervalve/entry/transfer_reply_cache.h"

namespace coppervalve::entry {

namespace {

// A duplicate datagram that arrives later than this takes tokens once more.
// They remain unused, and the total is not exceeded.
constexpr core::Duration kRetention{10'000'000};

}  // namespace

TransferReplyCache::Key TransferReplyCache::KeyOf(const v1::TokenAsk& request) {
  return {core::RouterId(request.router()), request.epoch(), request.id()};
}

std::optional<core::Tokens> TransferReplyCache::Find(
    const v1::TokenAsk& request) const {
  const auto found = m_replies.find(KeyOf(request));
  if (found == m_replies.end()) {
    return std::nullopt;
  }
  return found->second;
}

void TransferReplyCache::Insert(const v1::TokenAsk& request,
                                core::Tokens given,
                                core::TimePoint now) {
  m_replies[KeyOf(request)] = given;
  m_order.emplace_back(now, KeyOf(request));
  while (now - m_order.front().first > kRetention) {
    m_replies.erase(m_order.front().second);
    m_order.pop_front();
  }
}

}  // namespace coppervalve::entry
