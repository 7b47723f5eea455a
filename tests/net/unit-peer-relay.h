#ifndef COPPERVALVE_TESTS_NET_UNIT_PEER_RELAY_H_
#define COPPERVALVE_TESTS_NET_UNIT_PEER_RELAY_H_

#include <array>  // array
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string
#include <thread>      // thread
#include <utility>     // move
#include <vector>      // vector

#include "unit-peer-support.h"

/// A proxy between two routers that can disturb their connections.
namespace coppervalve::net::testing {

inline boost::asio::ip::tcp::endpoint FreePort() {
  return {boost::asio::ip::make_address(kLocalhost), 0};
}

/// @brief Inspects, and may change, the bytes that a client sends.
using Tap = std::function<void(std::string& bytes)>;

/// @brief One connection through the relay, on the relay's thread.
class RelayPipe : public std::enable_shared_from_this<RelayPipe> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  RelayPipe(Socket near, Socket far, Tap tap)
      : m_near(std::move(near)), m_far(std::move(far)), m_tap(std::move(tap)) {}

  void Start() {
    Copy(m_near, m_far, m_up, m_tap);
    Copy(m_far, m_near, m_down, [](std::string&) {});
  }
  /// @brief Drops all further bytes, without an error at either end.
  void Lose() { m_lost = true; }
  void Close() {
    boost::system::error_code ignored;
    m_near.close(ignored);
    m_far.close(ignored);
  }

 private:
  using Buffer = std::array<char, 16384>;

  void Copy(Socket& from, Socket& to, Buffer& buffer, const Tap& tap) {
    from.async_read_some(boost::asio::buffer(buffer),
                         [self = shared_from_this(), &from, &to, &buffer, tap](
                             boost::system::error_code error, size_t size) {
                           if (error) {
                             self->Close();
                             return;
                           }
                           std::string bytes(buffer.data(), size);
                           tap(bytes);
                           if (!self->m_lost) {
                             boost::asio::write(to, boost::asio::buffer(bytes),
                                                error);
                           }
                           self->Copy(from, to, buffer, tap);
                         });
  }

  Socket m_near;
  Socket m_far;
  const Tap m_tap;
  Buffer m_up{};
  Buffer m_down{};
  bool m_lost = false;
};

/// @brief A relay that can drop the traffic of its existing connections while
/// new ones work. Runs on its own thread, so its writes may block.
class TcpRelay {
 public:
  explicit TcpRelay(
      uint16_t target_port,
      Tap tap = [](std::string&) {})
      : m_target(boost::asio::ip::make_address(kLocalhost), target_port),
        m_tap(std::move(tap)),
        m_acceptor(m_io, FreePort()) {
    Accept();
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~TcpRelay() {
    boost::asio::post(m_io, [this] {
      m_acceptor.close();
      for (const auto& pipe : m_pipes) {
        pipe->Close();
      }
    });
    m_thread.join();
  }
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  std::string address() const {
    return AddressOf(m_acceptor.local_endpoint().port());
  }
  void LoseOpenConnections() {
    Awaited<bool> done;
    boost::asio::post(m_io, [this, done]() mutable {
      for (const auto& pipe : m_pipes) {
        pipe->Lose();
      }
      done.Set(true);
    });
    done.Get();
  }

 private:
  void Accept() {
    m_acceptor.async_accept([this](boost::system::error_code error,
                                   boost::asio::ip::tcp::socket near) {
      if (error) {
        return;
      }
      boost::asio::ip::tcp::socket far(m_io);
      far.connect(m_target, error);
      if (!error) {
        m_pipes.push_back(std::make_shared<RelayPipe>(std::move(near),
                                                      std::move(far), m_tap));
        m_pipes.back()->Start();
      }
      Accept();
    });
  }

  boost::asio::io_context m_io;
  const boost::asio::ip::tcp::endpoint m_target;
  const Tap m_tap;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::vector<std::shared_ptr<RelayPipe>> m_pipes;
  std::thread m_thread;
};

}  // namespace coppervalve::net::testing

#endif  // COPPERVALVE_TESTS_NET_UNIT_PEER_RELAY_H_
