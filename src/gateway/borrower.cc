#include "coppervalve/gateway/borrower.h"

#include <algorithm>  // min
#include <chrono>     // milliseconds
#include <utility>    // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

// Longer than a round trip within a region; short beside what callers wait.
constexpr std::chrono::milliseconds kAnswerTime{25};
constexpr size_t kMostLenders = 3;
// A router that is cut off hears from nobody: each request would be held for
// three round trips in vain.
constexpr core::Duration kSilence{400'000};
constexpr size_t kMostSent = 1'024;

}  // namespace

Borrower::Borrower(boost::asio::io_context& io,
                   std::string router,
                   std::string reply_address,
                   Hooks hooks)
    : m_io(io),
      m_router(std::move(router)),
      m_reply_address(std::move(reply_address)),
      m_hooks(std::move(hooks)) {}

bool Borrower::Silent(core::TimePoint now) const {
  return m_unanswered_at && now - *m_unanswered_at < kSilence;
}

bool Borrower::Borrow(const core::AccountId& account,
                      core::Tokens tokens,
                      std::function<void()> on_done) {
  const auto found = m_asks.find(account);
  if (found != m_asks.end()) {
    found->second.waiting.push_back(std::move(on_done));
    return true;
  }
  if (m_reply_address.empty() || Silent(net::BootNow())) {
    return false;
  }
  Ask ask;
  ask.least = tokens;
  ask.lenders = m_hooks.lenders(account, tokens);
  if (ask.lenders.empty()) {
    return false;
  }
  ask.lenders.resize(std::min(ask.lenders.size(), kMostLenders));
  ask.waiting.push_back(std::move(on_done));
  ask.timer = std::make_shared<boost::asio::steady_timer>(m_io);
  m_asks.emplace(account, std::move(ask));
  AskNext(account);
  return true;
}

// Each message has an id of its own: what two lenders give must both be taken,
// and what one gives must not be taken twice.
void Borrower::AskNext(const core::AccountId& account) {
  Ask& ask = m_asks.at(account);
  ask.message = ++m_last_message;
  if (m_sent.size() >= kMostSent) {
    m_sent.clear();
  }
  m_sent.emplace(ask.message, account);
  v1::TokenAsk message;
  message.set_router(m_router);
  message.set_epoch(m_epoch);
  message.set_id(ask.message);
  message.set_account(account.value());
  message.set_least(ask.least.value());
  message.set_wanted(m_hooks.wanted(account, ask.least).value());
  message.set_reply_address(m_reply_address);
  m_hooks.send(ask.lenders[ask.next++], message);
  ask.timer->expires_after(kAnswerTime);
  ask.timer->async_wait(
      [this, account, message_id = ask.message,
       timer = ask.timer](const boost::system::error_code& code) {
        if (!code) {
          OnNoAnswer(account, message_id);
        }
      });
}

void Borrower::OnNoAnswer(const core::AccountId& account, uint64_t message) {
  const auto found = m_asks.find(account);
  if (found == m_asks.end() || found->second.message != message) {
    return;
  }
  if (found->second.next == found->second.lenders.size()) {
    m_unanswered_at = net::BootNow();
  }
  AskNextOrEnd(account);
}

void Borrower::AskNextOrEnd(const core::AccountId& account) {
  const Ask& ask = m_asks.at(account);
  if (ask.next < ask.lenders.size()) {
    AskNext(account);
    return;
  }
  End(account);
}

void Borrower::OnGift(const v1::TokenGift& gift) {
  const auto sent = m_sent.find(gift.ask_id());
  if (gift.ask_epoch() != m_epoch || sent == m_sent.end()) {
    return;
  }
  const core::AccountId account = sent->second;
  m_sent.erase(sent);
  m_unanswered_at.reset();
  const core::Tokens tokens(gift.tokens());
  if (tokens > core::Tokens(0)) {
    m_hooks.on_tokens(account, tokens);
  }
  const auto found = m_asks.find(account);
  if (found == m_asks.end()) {
    return;  // too late for those who waited; the next request finds it
  }
  if (tokens > core::Tokens(0)) {
    End(account);
  } else if (found->second.message == gift.ask_id()) {
    AskNextOrEnd(account);
  }
}

void Borrower::End(const core::AccountId& account) {
  const auto found = m_asks.find(account);
  const Ask ask = std::move(found->second);
  m_asks.erase(found);
  ask.timer->cancel();
  for (const auto& on_done : ask.waiting) {
    on_done();
  }
}

}  // namespace coppervalve::gateway
