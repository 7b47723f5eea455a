#include "fake_server.h"

#include <arpa/inet.h>   // htonl
#include <netinet/in.h>  // sockaddr_in
#include <sys/socket.h>  // accept
#include <unistd.h>      // close

#include <cstdio>   // snprintf
#include <utility>  // move

namespace coppervalve::net::testing {

FakeServer::FakeServer(Script script)
    : m_script(std::move(script)),
      m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(m_listener, generic, size) != 0) {
    return;
  }
  listen(m_listener, 64);
  getsockname(m_listener, generic, &size);
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { Run(); });
}

FakeServer::~FakeServer() {
  shutdown(m_listener, SHUT_RDWR);
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  close(m_listener);
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

std::string FakeServer::address() const {
  return "127.0.0.1:" + std::to_string(m_port);
}

void FakeServer::Run() {
  while (true) {
    const int descriptor = accept(m_listener, nullptr, nullptr);
    if (descriptor < 0) {
      return;
    }
    const size_t number = m_connections++;
    m_threads.emplace_back([this, descriptor, number] {
      RawSocket socket = RawSocket::Adopt(descriptor);
      m_script(socket, number);
    });
  }
}

FakeServer::Script AlwaysReply(std::string reply) {
  return [reply = std::move(reply)](RawSocket& socket, size_t) {
    while (!socket.ReadMessage().empty()) {
      socket.Send(reply);
    }
  };
}

std::string Reply(const std::string& body, const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string EngineReply(const std::string& text) {
  return Reply(R"({"choices":[{"text":")" + text +
               R"("}],"usage":{"prompt_tokens":3,"completion_tokens":5}})");
}

std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string TokenChunk(const std::string& text) {
  return Chunk(R"(data: {"choices":[{"delta":{"content":")" + text +
               "\"}}]}\n\n");
}

}  // namespace coppervalve::net::testing
