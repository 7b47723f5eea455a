#include "raw_socket.h"

#include <arpa/inet.h>   // htons
#include <netinet/in.h>  // sockaddr_in
#include <sys/socket.h>  // socket
#include <unistd.h>      // close

#include <array>    // array
#include <cstdlib>  // strtoul
#include <utility>  // exchange

namespace coppervalve::net::testing {

namespace {

constexpr int kTimeoutSeconds = 30;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

void SetTimeout(int descriptor) {
  const timeval timeout{kTimeoutSeconds, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

size_t LengthIn(std::string_view head) {
  for (const std::string_view name :
       {"\r\nContent-Length: ", "\r\ncontent-length: "}) {
    const size_t at = head.find(name);
    if (at != std::string_view::npos) {
      const std::string digits(head.substr(at + name.size(), 20));
      return std::strtoul(digits.c_str(), nullptr, 10);
    }
  }
  return 0;
}

}  // namespace

RawSocket::RawSocket(uint16_t port)
    : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  SetTimeout(m_descriptor);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    Close();
  }
}

RawSocket RawSocket::Adopt(int descriptor) {
  RawSocket adopted;
  adopted.m_descriptor = descriptor;
  SetTimeout(descriptor);
  return adopted;
}

RawSocket::RawSocket(RawSocket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)),
      m_buffer(std::move(other.m_buffer)) {}

RawSocket::~RawSocket() {
  Close();
}

void RawSocket::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
}

std::string RawSocket::ReadToEnd() {
  while (ReadMore()) {
  }
  return Take(m_buffer.size());
}

std::string RawSocket::ReadMessage() {
  std::string head = ReadUntil(kHeadEnd);
  if (!head.ends_with(kHeadEnd)) {
    return head;
  }
  if (head.find("chunked") != std::string::npos) {
    return head + ReadUntil(kLastChunk);
  }
  const size_t length = LengthIn(head);
  while (m_buffer.size() < length && ReadMore()) {
  }
  return head + Take(length);
}

std::string RawSocket::ReadUntil(std::string_view mark) {
  while (true) {
    const size_t at = m_buffer.find(mark);
    if (at != std::string::npos) {
      return Take(at + mark.size());
    }
    if (!ReadMore()) {
      return Take(m_buffer.size());
    }
  }
}

bool RawSocket::WaitForClose() {
  char byte = 0;
  const ssize_t got = recv(m_descriptor, &byte, 1, 0);
  const bool timed_out = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return got <= 0 && !timed_out;
}

void RawSocket::Close() {
  if (m_descriptor >= 0) {
    close(std::exchange(m_descriptor, -1));
  }
}

void RawSocket::Reset() {
  const linger at_once{1, 0};
  setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  Close();
}

bool RawSocket::ReadMore() {
  std::array<char, 16384> bytes{};
  const ssize_t got = recv(m_descriptor, bytes.data(), bytes.size(), 0);
  if (got <= 0) {
    return false;
  }
  m_buffer.append(bytes.data(), static_cast<size_t>(got));
  return true;
}

std::string RawSocket::Take(size_t size) {
  std::string taken = m_buffer.substr(0, size);
  m_buffer.erase(0, size);
  return taken;
}

}  // namespace coppervalve::net::testing
