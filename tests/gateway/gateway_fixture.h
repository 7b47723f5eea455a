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

/// @return whether a text contains a part
bool Has(const std::string& text, const std::string& part);

/// @brief "127.0.0.1:PORT" with a port that other programs don't get: a socket
/// that does not listen is bound to it, and to those of the last 255 calls.
std::string FreeAddress();

/// @brief Sends one datagram to "ip:port".
void SendDatagram(boost::asio::io_context& io,
                  const std::string& address,
                  const std::string& bytes);

/// @brief Service name for which the test dialect rejects an upstream record.
inline constexpr const char* kInvalidService = "?";

/// @brief An upstream whose responses are set by the test.
class ScriptedUpstream {
 public:
  using OnRequest =
      std::function<void(const StreamRef& stream, const std::string& text)>;

  explicit ScriptedUpstream(boost::asio::io_context& io);
  void Answer(OnRequest on_request) { m_on_request = std::move(on_request); }
  /// Accepts no more connections, as after a crash.
  void StopListening();

  const std::string& address() const { return m_address; }
  std::vector<std::string> requests;  ///< as received
  int connections = 0;
  int closed = 0;  ///< connections that the router closed

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
  /// @param window bytes that the kernel receives ahead; 0 = as many as it
  /// likes
  TestCaller(boost::asio::io_context& io,
             const std::string& address,
             int window = 0);
  ~TestCaller();
  void Send(const std::string& text);
  void Disconnect();
  /// Leaves what the router sends unread.
  void PauseReading();
  void ResumeReading();
  /// Closes the connection after the sent bytes, as a caller that timed out
  /// does.
  void CloseAfterSend();

  std::string received;
  bool ended = false;

 private:
  StreamRef m_stream;
};

/// @return a complete signed response of an upstream
/// @param request whose id the response echoes
std::string Signed(const std::string& request,
                   const std::string& body,
                   int status = 200);
/// @return the same with a limit of requests per second
std::string SignedWithLimit(const std::string& request, double per_second);
/// @return head of a signed response in chunked encoding
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
  /// @param more the rest of its record, see SetUpstream()
  ScriptedUpstream& AddUpstream(const std::string& id,
                                const std::string& service,
                                const std::string& more = {});
  /// @brief Writes the record
  /// "SERVICE ADDRESS [START_NUMBER [FAILURE_DOMAIN [VERSION]]]" of an
  /// upstream; 0 stands for no START_NUMBER.
  void SetUpstream(const std::string& id, const std::string& document);
  std::unique_ptr<TestCaller> Caller();
  /// @brief Runs the event loop until a condition holds.
  /// @return false on a timeout
  bool Until(const std::function<bool()>& condition);
  /// @brief Sends a request and waits for a complete response or the end of the
  /// connection.
  /// @return the bytes received
  std::string SendRequest(const std::string& path,
                          const std::string& extra_headers = {},
                          const std::string& id = "r-1");
  static std::string RequestText(const std::string& path,
                                 const std::string& extra_headers,
                                 const std::string& id);

  boost::asio::io_context io;
  FakeStore store;
  std::unique_ptr<Gateway> gateway;
  GatewaySettings settings;
  std::string peer_address;  ///< for callers of the latest peer

 private:
  std::vector<std::unique_ptr<ScriptedUpstream>> m_upstreams;
};

}  // namespace coppervalve::gateway::testing

#endif  // COPPERVALVE_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
