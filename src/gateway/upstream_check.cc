#include "coppervalve/gateway/upstream_check.h"

#include <chrono>   // milliseconds
#include <utility>  // move

namespace coppervalve::gateway {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};

}  // namespace

void UpstreamCheck::Start(const std::string& address,
                          std::function<void()> on_refused) {
  if (!m_pending.insert(address).second) {
    return;
  }
  m_dialer.Dial(
      address, kConnectTimeout,
      [this, address, on_refused = std::move(on_refused)](
          ConnectResult result, boost::asio::ip::tcp::socket /*socket*/) {
        m_pending.erase(address);
        if (result == ConnectResult::kRefused) {
          on_refused();
        }
      });
}

}  // namespace coppervalve::gateway
