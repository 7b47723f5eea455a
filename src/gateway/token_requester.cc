#include "coppervalve/gateway/token_requester.h"

#include <algorithm>  // min
#include <chrono>     // milliseconds
#include <utility>    // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// Longer than a round trip within a region, but short compared to callers'
// timeouts.
constexpr std::chrono::milliseconds kReplyTimeout{25};
constexpr size_t kMaxDonors = 3;
// A partitioned router gets no replies, and each request would wait in vain for
// three reply timeouts.
constexpr core::Duration kRetryAfterNoReply{400'000};
constexpr size_t kMaxUnansweredMessages = 1'024;

}  // namespace

TokenRequester::TokenRequester(boost::asio::io_context& io,
                               std::string router,
                               std::string reply_address,
                               Hooks hooks)
    : m_io(io),
      m_router(std::move(router)),
      m_reply_address(std::move(reply_address)),
      m_hooks(std::move(hooks)) {}

bool TokenRequester::RecentlyUnanswered(core::TimePoint now) const {
  return m_last_no_reply && now - *m_last_no_reply < kRetryAfterNoReply;
}

bool TokenRequester::RequestTokens(const core::AccountId& account,
                                   core::Tokens tokens,
                                   std::function<void()> on_done) {
  const auto found = m_pending.find(account);
  if (found != m_pending.end()) {
    found->second.callbacks.push_back(std::move(on_done));
    return true;
  }
  // Without an epoch of its own, the messages of this start could not be told
  // from those of an earlier one, and a donor would repeat its earlier replies.
  if (m_epoch == 0 || m_reply_address.empty() ||
      RecentlyUnanswered(net::BootNow())) {
    return false;
  }
  PendingRequest pending;
  pending.min_tokens = tokens;
  pending.donors = m_hooks.donors(account, tokens);
  if (pending.donors.empty()) {
    return false;
  }
  pending.donors.resize(std::min(pending.donors.size(), kMaxDonors));
  pending.callbacks.push_back(std::move(on_done));
  pending.timer = std::make_shared<boost::asio::steady_timer>(m_io);
  m_pending.emplace(account, std::move(pending));
  SendToNextDonor(account);
  return true;
}

// Each message has its own id, so that tokens from two donors are both accepted
// but a duplicated reply is accepted only once.
void TokenRequester::SendToNextDonor(const core::AccountId& account) {
  PendingRequest& pending = m_pending.at(account);
  pending.message_id = ++m_last_message;
  if (m_unanswered.size() >= kMaxUnansweredMessages) {
    m_unanswered.clear();
  }
  m_unanswered.emplace(pending.message_id, account);
  v1::TokenAsk message;
  message.set_router(m_router);
  message.set_epoch(m_epoch);
  message.set_id(pending.message_id);
  message.set_account(account.value());
  message.set_least(pending.min_tokens.value());
  message.set_wanted(m_hooks.wanted(account, pending.min_tokens).value());
  message.set_reply_address(m_reply_address);
  m_hooks.send(pending.donors[pending.next_donor++], message);
  pending.timer->expires_after(kReplyTimeout);
  pending.timer->async_wait(
      [this, account, message_id = pending.message_id,
       timer = pending.timer](const boost::system::error_code& code) {
        if (!code) {
          OnTimeout(account, message_id);
        }
      });
}

void TokenRequester::OnTimeout(const core::AccountId& account,
                               uint64_t message_id) {
  const auto found = m_pending.find(account);
  if (found == m_pending.end() || found->second.message_id != message_id) {
    return;
  }
  if (found->second.next_donor == found->second.donors.size()) {
    m_last_no_reply = net::BootNow();
  }
  SendToNextDonorOrFinish(account);
}

void TokenRequester::SendToNextDonorOrFinish(const core::AccountId& account) {
  const PendingRequest& pending = m_pending.at(account);
  if (pending.next_donor < pending.donors.size()) {
    SendToNextDonor(account);
    return;
  }
  Finish(account);
}

void TokenRequester::OnTransfer(const v1::TokenGift& gift) {
  const auto sent = m_unanswered.find(gift.ask_id());
  if (gift.ask_epoch() != m_epoch || sent == m_unanswered.end()) {
    return;
  }
  const core::AccountId account = sent->second;
  m_unanswered.erase(sent);
  m_last_no_reply.reset();
  const core::Tokens tokens(gift.tokens());
  if (tokens > core::Tokens(0)) {
    m_hooks.on_tokens(account, tokens);
  }
  const auto found = m_pending.find(account);
  if (found == m_pending.end()) {
    return;  // late reply: the tokens are available to the next request
  }
  if (tokens > core::Tokens(0)) {
    Finish(account);
  } else if (found->second.message_id == gift.ask_id()) {
    SendToNextDonorOrFinish(account);
  }
}

void TokenRequester::Finish(const core::AccountId& account) {
  const auto found = m_pending.find(account);
  const PendingRequest pending = std::move(found->second);
  m_pending.erase(found);
  pending.timer->cancel();
  for (const auto& on_done : pending.callbacks) {
    on_done();
  }
}

}  // namespace coppervalve::gateway
