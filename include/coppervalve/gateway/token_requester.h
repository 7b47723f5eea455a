#ifndef COPPERVALVE_GATEWAY_TOKEN_REQUESTER_H_
#define COPPERVALVE_GATEWAY_TOKEN_REQUESTER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>        // uint64_t
#include <functional>     // function
#include <memory>         // shared_ptr
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::gateway {

/// @brief Requests tokens from other routers when this one cannot claim them:
/// the store is unavailable, or the remaining tokens are part of other routers'
/// ceilings.
///
/// At most one request per account is in progress; callers that need tokens
/// meanwhile wait for its reply. After a request without any reply, no caller
/// waits until a retry interval has passed.
class TokenRequester {
 public:
  struct Hooks {
    /// Addresses of routers that may have that many tokens to spare, those with
    /// the most first.
    std::function<std::vector<std::string>(const core::AccountId&,
                                           core::Tokens)>
        donors;
    std::function<core::Tokens(const core::AccountId&, core::Tokens)> wanted;
    std::function<void(const std::string& address, const v1::TokenAsk&)> send;
    std::function<void(const core::AccountId&, core::Tokens)> on_tokens;
  };

  TokenRequester(boost::asio::io_context& io,
                 std::string router,
                 std::string reply_address,
                 Hooks hooks);
  /// @param epoch of this start; nothing is requested before it is set
  void SetEpoch(uint64_t epoch) { m_epoch = epoch; }

  /// @param on_done called when tokens have arrived or none will; never called
  /// from within this call
  /// @return false if nothing was requested: no router may have tokens to
  /// spare, replies cannot be received, or a recent request got no reply
  bool RequestTokens(const core::AccountId& account,
                     core::Tokens tokens,
                     std::function<void()> on_done);
  void OnTransfer(const v1::TokenGift& gift);

 private:
  struct PendingRequest {
    core::Tokens min_tokens{};
    std::vector<std::string> donors;
    size_t next_donor = 0;    ///< index of the next donor to contact
    uint64_t message_id = 0;  ///< id of the message sent last
    std::vector<std::function<void()>> callbacks;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };
  bool RecentlyUnanswered(core::TimePoint now) const;
  void SendToNextDonor(const core::AccountId& account);
  void SendToNextDonorOrFinish(const core::AccountId& account);
  void OnTimeout(const core::AccountId& account, uint64_t message_id);
  void Finish(const core::AccountId& account);

  boost::asio::io_context& m_io;
  std::string m_router;
  std::string m_reply_address;
  Hooks m_hooks;
  uint64_t m_epoch = 0;
  uint64_t m_last_message = 0;
  std::unordered_map<core::AccountId, PendingRequest> m_pending;
  /// Messages without a reply so far. Each accepts one reply, even a late one.
  std::unordered_map<uint64_t, core::AccountId> m_unanswered;
  std::optional<core::TimePoint> m_last_no_reply;
};

}  // namespace coppervalve::gateway

#endif  // COPPERVALVE_GATEWAY_TOKEN_REQUESTER_H_
