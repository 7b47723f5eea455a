// Transfers of tokens between routers.
#include <utility>  // move

#include "coppervalve/gateway/gateway.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

void Gateway::MakeTokenRequester() {
  TokenRequester::Hooks hooks;
  hooks.donors = [this](const core::AccountId& account, core::Tokens tokens) {
    std::vector<std::string> addresses;
    for (const core::RouterId& router : m_book.Donors(account, tokens)) {
      std::string address = m_members.LoadAddressOf(router);
      if (!address.empty()) {
        addresses.push_back(std::move(address));
      }
    }
    if (addresses.empty() && !m_follows_heartbeats) {
      // The claims of the others are unknown; active routers have the most.
      return m_members.LoadAddresses();
    }
    return addresses;
  };
  hooks.wanted = [this](const core::AccountId& account, core::Tokens tokens) {
    return m_book.TransferRequestFor(account, tokens, net::BootNow());
  };
  hooks.send = [this](const std::string& address, const v1::TokenAsk& ask) {
    if (m_peer_messenger) {
      v1::PeerDatagram datagram;
      *datagram.mutable_ask() = ask;
      m_peer_messenger->Send(address, datagram);
    }
  };
  hooks.on_tokens = [this](const core::AccountId& account,
                           core::Tokens tokens) {
    m_book.OnTransfer(account, tokens);
    m_metrics.OnTransfer("taken");
    m_log.Write(LogCategory::kRoutine, LogLine("tokens_borrowed")
                                           .Text("account", account.value())
                                           .Number("tokens", tokens.value()));
  };
  m_token_requester = std::make_unique<TokenRequester>(
      m_io, m_settings.router.value(), m_settings.load_address,
      std::move(hooks));
}

void Gateway::OnTokenAsk(const v1::TokenAsk& ask) {
  const core::TimePoint now = net::BootNow();
  const core::AccountId account(ask.account());
  std::optional<core::Tokens> given = m_transfer_replies.Find(ask);
  const bool repeated = given.has_value();
  if (repeated) {
    m_metrics.OnTransfer("repeated");
  } else {
    given = m_book.TransferOut(account, core::Tokens(ask.least()),
                               core::Tokens(ask.wanted()), now);
    m_transfer_replies.Insert(ask, *given, now);
    m_metrics.OnTransfer(*given > core::Tokens(0) ? "given" : "none_to_spare");
  }
  m_log.Write(LogCategory::kRoutine,
              LogLine("tokens_given")
                  .Text("account", account.value())
                  .Text("to", ask.router())
                  .Number("epoch", static_cast<int64_t>(ask.epoch()))
                  .Number("ask", static_cast<int64_t>(ask.id()))
                  .Flag("repeated", repeated)
                  .Number("asked", ask.least())
                  .Number("tokens", given->value()));
  v1::PeerDatagram datagram;
  v1::TokenGift& gift = *datagram.mutable_gift();
  gift.set_router(m_settings.router.value());
  gift.set_ask_epoch(ask.epoch());
  gift.set_ask_id(ask.id());
  gift.set_tokens(given->value());
  m_peer_messenger->Send(ask.reply_address(), datagram);
}

}  // namespace coppervalve::gateway
