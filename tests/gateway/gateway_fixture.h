#ifndef COPPERVALVE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define COPPERVALVE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/gateway/gateway.h"
#include "coppervalve/gateway/stream.h"
#include "fake_store.h"

namespace coppervalve::gateway::testing {

/// @return whether a text has a part
bool Has(const std::string& text, const std::string& part);

/// @brief "127.0.0.1:PORT" with a port that was free a moment ago.
std::string FreeAddress(boost::asio::io_context& io);

/// @brief Sends one datagram to "ip:port".
void SendDatagram(boost::asio::io_context& io,
                  const std::string& address,
                  const std::string& bytes);

/// @brief A word in the place of the service: the record can't be read.
inline constexpr const char* kInvalidService = "?";

/// @brief An upstream that answers as the test says.
class ScriptedUpstream {
 public:
  using OnRequest =
      std::function<void(const StreamRef& stream, const std::string& text)>;

  explicit ScriptedUpstream(boost::asio::io_context& io);
  void Answer(OnRequest on_request) { m_on_request = std::move(on_request); }

  const std::string& address() const { return m_address; }
  std::vector<std::string> requests;  ///< as they came
  int connections = 0;
  int closed = 0;  ///< connections that the router ended

 private:
  void Accept();

  std::string m_address;
  boost::asio::ip::tcp::acceptor m_acceptor;
  OnRequest m_on_request;
  std::vector<StreamRef> m_streams;
};

/// @brief A caller with one connection.
class TestCaller {
 public:
  TestCaller(boost::asio::io_context& io, const std::string& address);
  ~TestCaller();
  void Send(const std::string& text);
  void Disconnect();
  /// Ends the connection after what was sent, as a caller that gave up does.
  void CloseAfterSend();

  std::string received;
  bool ended = false;

 private:
  StreamRef m_stream;
};

/// @brief A whole answer of an upstream, for the request that it got.
/// @param request whose id is echoed
std::string Signed(const std::string& request,
                   const std::string& body,
                   int status = 200);
/// @brief The same from an upstream that takes so many requests a second.
std::string SignedWithLimit(const std::string& request, double per_second);
/// @brief Head of a signed stream in chunks.
std::string SignedStreamHead(const std::string& request);
std::string Chunk(const std::string& bytes);
std::string Event(int id);

/// @brief A router between a scripted store, upstreams and callers.
class Router {
 public:
  Router();
  ~Router();

  /// @brief Starts the router and waits until it is ready.
  void Start(int64_t prepaid = 1'000'000);
  /// @brief Starts another router on the same store and upstreams.
  /// @pre `settings.load_address` is set and Start() was called
  std::unique_ptr<Gateway> StartPeer(const std::string& name);
  ScriptedUpstream& AddUpstream(const std::string& id,
                                const std::string& service);
  /// @brief Writes "SERVICE ADDRESS [BORN [FAILURE_DOMAIN]]", with a 0
  /// for no BORN, under an upstream's id.
  void SetUpstream(const std::string& id, const std::string& document);
  std::unique_ptr<TestCaller> Caller();
  /// @brief Runs until a condition holds. @return false when it never did
  bool Until(const std::function<bool()>& condition);
  /// @brief Sends a request and waits for a whole answer or the end.
  std::string Ask(const std::string& path,
                  const std::string& extra_headers = {},
                  const std::string& id = "r-1");
  static std::string RequestText(const std::string& path,
                                 const std::string& extra_headers,
                                 const std::string& id);

  boost::asio::io_context io;
  FakeStore store;
  std::unique_ptr<Gateway> gateway;
  GatewaySettings settings;

 private:
  std::vector<std::unique_ptr<ScriptedUpstream>> m_upstreams;
};

}  // namespace coppervalve::gateway::testing

#endif  // COPPERVALVE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
