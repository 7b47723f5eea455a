#ifndef COPPERVALVE_TESTS_NET_FAKE_SERVER_H_
#define COPPERVALVE_TESTS_NET_FAKE_SERVER_H_

#include <atomic>      // atomic
#include <cstdint>     // uint16_t
#include <functional>  // function
#include <string>      // string
#include <thread>      // thread
#include <vector>      // vector

#include "raw_socket.h"

namespace coppervalve::net::testing {

/// @brief Fakes an upstream or the log service: one thread per connection runs
/// the script, which controls every byte.
class FakeServer {
 public:
  /// @param connection 0, 1, 2... in the order of arrival
  using Script = std::function<void(RawSocket& socket, size_t connection)>;

  explicit FakeServer(Script script);
  FakeServer(const FakeServer&) = delete;
  FakeServer& operator=(const FakeServer&) = delete;
  ~FakeServer();

  uint16_t port() const { return m_port; }
  std::string address() const;
  size_t connections() const { return m_connections; }

 private:
  void Run();

  Script m_script;
  int m_listener = -1;
  uint16_t m_port = 0;
  std::atomic<size_t> m_connections{0};
  std::thread m_acceptor;
  std::vector<std::thread> m_threads;
};

/// @brief Answers any number of requests on a connection with `reply`.
FakeServer::Script AlwaysReply(std::string reply);

/// @brief A message with Content-Length.
std::string Reply(const std::string& body, const std::string& headers = "");

/// @brief One chunk of a chunked message.
std::string Chunk(const std::string& bytes);

/// @brief An engine's JSON answer with usage.
std::string EngineReply(const std::string& text);

/// @brief The head of a token stream.
std::string StreamHead();

/// @brief A chunk with one token's event.
std::string TokenChunk(const std::string& text);

}  // namespace coppervalve::net::testing

#endif  // COPPERVALVE_TESTS_NET_FAKE_SERVER_H_
