#include "coppervalve/net/caller_server.h"

#include <algorithm>  // max
#include <atomic>     // atomic
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>  // unordered_map
#include <utility>        // move
#include <vector>         // vector

#include "caller_session.h"
#include "coppervalve/net/connection_registry.h"
#include "coppervalve/net/listen_error.h"
#include "socket_util.h"

namespace coppervalve::net {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kAcceptThread = 0;
constexpr std::chrono::milliseconds kAcceptRetry{50};

}  // namespace

struct CallerServer::Impl : std::enable_shared_from_this<CallerServer::Impl> {
  using Sessions = std::unordered_map<size_t, std::shared_ptr<CallerSession>>;

  Impl(IoPool& a_pool, CallerHooks a_hooks, const CallerLimits& a_limits)
      : pool(a_pool),
        hooks(std::make_shared<const CallerHooks>(std::move(a_hooks))),
        limits(a_limits),
        acceptor(pool.Context(kAcceptThread)),
        retry(pool.Context(kAcceptThread)),
        sessions(pool.size()) {
    // Connections are distributed evenly, and each thread keeps its part of the
    // limits: it can end only its own connections at once.
    const core::ConnectionLimits part{
        std::max(limits.max_connections / pool.size(), size_t{1}),
        limits.max_held_bytes / pool.size()};
    const auto on_ended = hooks->ended ? hooks->ended : [](const auto&) {};
    for (size_t thread = 0; thread < pool.size(); ++thread) {
      registries.push_back(
          std::make_shared<ConnectionRegistry>(part, on_ended));
    }
  }

  void Accept() {
    const size_t thread = next_thread++ % pool.size();
    acceptor.async_accept(
        pool.Context(thread),
        [self = shared_from_this(), thread](error_code e, tcp::socket socket) {
          self->OnAccepted(e, thread, std::move(socket));
        });
  }

  void OnAccepted(error_code e, size_t thread, tcp::socket socket) {
    if (!acceptor.is_open()) {
      return;
    }
    if (e) {
      // For example out of file descriptors; an immediate retry would
      // busy-loop.
      retry.expires_after(kAcceptRetry);
      retry.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->acceptor.is_open()) {
          self->Accept();
        }
      });
      return;
    }
    ++open;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    pool.Post(thread, [self = shared_from_this(), thread, shared] {
      self->Begin(thread, std::move(*shared));
    });
    Accept();
  }

  void Register(size_t thread, const std::shared_ptr<CallerSession>& session) {
    session->SetEntry(registries[thread]->Add(
        [weak = std::weak_ptr(session)](core::ConnectionLimit limit) {
          if (const auto ending = weak.lock()) {
            ending->EndForLimit(limit);
          }
        },
        [weak = std::weak_ptr(session)] {
          const auto receiving = weak.lock();
          return receiving && receiving->HasInput();
        }));
  }

  void Begin(size_t thread, tcp::socket socket) {
    const size_t id = next_session++;
    auto session = std::make_shared<CallerSession>(
        pool.Context(thread), thread, std::move(socket), hooks, limits,
        [weak = weak_from_this(), thread, id] {
          if (const auto self = weak.lock()) {
            self->sessions[thread].erase(id);
            --self->open;
          }
        });
    sessions[thread][id] = session;
    Register(thread, session);
    session->Run();
    if (closing) {
      session->CloseWhenIdle();
    }
  }

  void Close() {
    closing = true;
    pool.Post(kAcceptThread, [self = shared_from_this()] {
      error_code ignored;
      self->acceptor.close(ignored);
    });
    for (size_t thread = 0; thread < pool.size(); ++thread) {
      pool.Post(thread, [self = shared_from_this(), thread] {
        self->CloseSessions(thread);
      });
    }
  }

  void CloseSessions(size_t thread) {
    for (const auto& [id, session] : sessions[thread]) {
      session->CloseWhenIdle();
    }
  }

  IoPool& pool;
  const std::shared_ptr<const CallerHooks> hooks;
  const CallerLimits limits;
  std::vector<std::shared_ptr<ConnectionRegistry>> registries;  // by thread
  tcp::acceptor acceptor;
  asio::steady_timer retry;
  uint16_t bound_port = 0;
  size_t next_thread = 0;
  std::atomic<size_t> next_session{0};
  std::vector<Sessions> sessions;  // by thread; each is used only on its thread
  std::atomic<size_t> open{0};
  std::atomic<bool> closing{false};
};

CallerServer::CallerServer(IoPool& pool, CallerHooks hooks, CallerLimits limits)
    : m_impl(std::make_shared<Impl>(pool, std::move(hooks), limits)) {}

CallerServer::~CallerServer() = default;

core::Status CallerServer::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return core::Error{core::ErrorId::kSettingBadValue, address,
                       "must have the form ip:port"};
  }
  if (m_impl->bound_port != 0) {
    return core::Ok();
  }
  tcp::acceptor& acceptor = m_impl->acceptor;
  error_code e;
  acceptor.open(endpoint->protocol(), e);
  if (!e) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), e);
  }
  if (!e) {
    acceptor.bind(*endpoint, e);
  }
  if (!e) {
    acceptor.listen(tcp::acceptor::max_listen_connections, e);
  }
  if (e) {
    error_code ignored;
    acceptor.close(ignored);
    return ListenError(address, e);
  }
  m_impl->bound_port = acceptor.local_endpoint(e).port();
  m_impl->Accept();
  return core::Ok();
}

uint16_t CallerServer::port() const {
  return m_impl->bound_port;
}

void CallerServer::Close() {
  m_impl->Close();
}

size_t CallerServer::OpenConnections() const {
  return m_impl->open;
}

}  // namespace coppervalve::net
