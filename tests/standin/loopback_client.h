#ifndef COPPERVALVE_TESTS_STANDIN_LOOPBACK_CLIENT_H_
#define COPPERVALVE_TESTS_STANDIN_LOOPBACK_CLIENT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>        // array
#include <cerrno>       // EAGAIN, errno
#include <cstdint>      // uint16_t
#include <string>       // string
#include <string_view>  // string_view

namespace coppervalve::standin {

inline sockaddr_in LoopbackAt(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Returns a port that was just free and differs from `taken`; 0 when none is
// found.
inline uint16_t FreePort(uint16_t taken = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = LoopbackAt(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  const bool found =
      ::bind(fd, generic, size) == 0 && ::getsockname(fd, generic, &size) == 0;
  ::close(fd);
  const uint16_t port = found ? ntohs(address.sin_port) : uint16_t{0};
  return found && port == taken ? FreePort(taken) : port;
}

// A client that never blocks, so that the test can run the server's loop
// between its calls.
class LoopbackClient {
 public:
  explicit LoopbackClient(uint16_t port)
      : m_fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in address = LoopbackAt(port);
    m_connected = ::connect(m_fd, reinterpret_cast<const sockaddr*>(&address),
                            sizeof(address)) == 0;
  }
  ~LoopbackClient() { Close(); }
  LoopbackClient(const LoopbackClient&) = delete;
  LoopbackClient& operator=(const LoopbackClient&) = delete;

  bool connected() const { return m_connected; }

  void Send(std::string_view text) const {
    ::send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
  }

  // Returns the data received since the last call.
  std::string Receive() {
    std::string text;
    std::array<char, 4096> buffer{};
    while (true) {
      const ssize_t size =
          ::recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size > 0) {
        text.append(buffer.data(), static_cast<size_t>(size));
        continue;
      }
      const bool nothing_yet =
          size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
      m_ended = m_ended || !nothing_yet;
      return text;
    }
  }

  // Whether Receive() found the connection closed or reset.
  bool ended() const { return m_ended; }

  void Close() {
    if (m_fd >= 0) {
      ::close(m_fd);
      m_fd = -1;
    }
  }

 private:
  int m_fd;
  bool m_connected = false;
  bool m_ended = false;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_TESTS_STANDIN_LOOPBACK_CLIENT_H_
