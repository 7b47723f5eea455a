#include "upstream_pool.h"

#include <utility>  // move

#include "socket_util.h"

namespace coppervalve::net {

namespace {

constexpr size_t kMaxIdlePerAddress = 32;
// Shorter than the idle timeouts of common servers, which could otherwise close
// the connection just as it is reused.
constexpr std::chrono::seconds kMaxIdle{15};

}  // namespace

std::optional<boost::asio::ip::tcp::socket> UpstreamPool::Acquire(
    const std::string& address) {
  std::vector<Idle>& idle = m_idle[address];
  while (!idle.empty()) {
    Idle last = std::move(idle.back());
    idle.pop_back();
    const bool stale = Clock::now() - last.since > kMaxIdle;
    if (stale || IsIdleUnusable(last.socket)) {
      continue;
    }
    return std::move(last.socket);
  }
  return std::nullopt;
}

void UpstreamPool::CloseAll(const std::string& address) {
  m_idle.erase(address);
}

void UpstreamPool::Release(const std::string& address,
                           boost::asio::ip::tcp::socket socket) {
  std::vector<Idle>& idle = m_idle[address];
  if (idle.size() < kMaxIdlePerAddress) {
    idle.push_back({std::move(socket), Clock::now()});
  }
}

}  // namespace coppervalve::net
