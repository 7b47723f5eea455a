#include <CppUTest/TestHarness.h>

#include <chrono>   // literals
#include <cstdint>  // uint16_t
#include <string>   // string

#include "coppervalve/core/result.h"
#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/tcp_relay.h"
#include "loopback_client.h"

using namespace coppervalve;           // NOLINT
using namespace coppervalve::standin;  // NOLINT
using namespace std::chrono_literals;

namespace {

constexpr core::Duration kSettle = 30ms;
constexpr const char* kGet = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Address Loopback(uint16_t port) {
  return {"127.0.0.1", port};
}

// Answers "hello" to each request.
void Hello(const HttpRequest& /*request*/, HttpExchange exchange) {
  HttpResponse response;
  response.body = "hello";
  exchange.Send(response);
}

// A server behind a relay.
struct RelayedServer {
  RelayedServer() {
    CHECK(core::IsOk(server.Listen(Loopback(server_port))));
    CHECK(core::IsOk(relay.Start()));
  }

  std::string Ask(LoopbackClient& client) {
    client.Send(kGet);
    loop.RunFor(kSettle);
    return client.Receive();
  }

  EventLoop loop;
  uint16_t server_port = FreePort();
  uint16_t relay_port = FreePort(server_port);
  HttpServer server{loop, Hello};
  TcpRelay relay{loop, Loopback(relay_port), Loopback(server_port)};
};

}  // namespace

// clang-format off
TEST_GROUP(Sockets){};
// clang-format on

TEST(Sockets, a_connection_serves_one_request_after_the_other) {
  EventLoop loop;
  const uint16_t port = FreePort();
  HttpServer server(loop, Hello);
  CHECK(core::IsOk(server.Listen(Loopback(port))));
  LoopbackClient client(port);
  for (int i = 0; i < 2; ++i) {
    client.Send(kGet);
    loop.RunFor(kSettle);
    CHECK(Contains(client.Receive(), "hello"));
  }
  CHECK(!client.ended());
}

// The client disconnects before the response is sent. The handler is notified
// once, and what it sends later is discarded.
TEST(Sockets, a_handler_is_notified_once_when_its_client_disconnects) {
  EventLoop loop;
  const uint16_t port = FreePort();
  int disconnects = 0;
  HttpExchange open;
  HttpServer server(loop, [&](const HttpRequest&, HttpExchange exchange) {
    exchange.OnClientDisconnected([&disconnects] { ++disconnects; });
    open = exchange;
  });
  CHECK(core::IsOk(server.Listen(Loopback(port))));
  LoopbackClient client(port);
  client.Send(kGet);
  loop.RunFor(kSettle);
  CHECK_EQUAL(0, disconnects);
  client.Close();
  loop.RunFor(kSettle);
  CHECK_EQUAL(1, disconnects);
  open.Send(HttpResponse{});
  loop.RunFor(kSettle);
  CHECK_EQUAL(1, disconnects);
}

// The server closes the connection in the middle of a stream. The client
// receives the data written so far without the terminating chunk.
TEST(Sockets, an_aborted_stream_has_no_terminating_chunk) {
  EventLoop loop;
  const uint16_t port = FreePort();
  HttpServer server(loop, [](const HttpRequest&, HttpExchange exchange) {
    exchange.StartStream(HttpResponse{});
    exchange.Write("token");
    exchange.Abort();
  });
  CHECK(core::IsOk(server.Listen(Loopback(port))));
  LoopbackClient client(port);
  client.Send(kGet);
  loop.RunFor(kSettle);
  const std::string received = client.Receive();
  CHECK(Contains(received, "token"));
  CHECK(!Contains(received, "0\r\n\r\n"));
  CHECK(client.ended());
}

// During a network partition nothing is delivered on old or new connections.
// After it heals, the data sent meanwhile arrives.
TEST(Sockets, a_stalled_relay_delivers_after_it_passes_again) {
  RelayedServer relayed;
  LoopbackClient old_client(relayed.relay_port);
  CHECK(Contains(relayed.Ask(old_client), "hello"));
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kStall)));
  LoopbackClient new_client(relayed.relay_port);
  CHECK(relayed.Ask(old_client).empty());
  CHECK(relayed.Ask(new_client).empty());
  CHECK(!old_client.ended());
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kPass)));
  relayed.loop.RunFor(kSettle);
  CHECK(Contains(old_client.Receive(), "hello"));
  CHECK(Contains(new_client.Receive(), "hello"));
}

// A network device has lost the state of a connection. The connection stays
// open but never delivers data again, even after later mode changes, while new
// connections work.
TEST(Sockets, a_connection_that_went_silent_stays_so_while_new_ones_work) {
  RelayedServer relayed;
  LoopbackClient old_client(relayed.relay_port);
  CHECK(Contains(relayed.Ask(old_client), "hello"));
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kStallExisting)));
  LoopbackClient new_client(relayed.relay_port);
  CHECK(relayed.Ask(old_client).empty());
  CHECK(Contains(relayed.Ask(new_client), "hello"));
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kStall)));
  CHECK(relayed.Ask(old_client).empty());
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kPass)));
  CHECK(relayed.Ask(old_client).empty());
  CHECK(!old_client.ended());
}

TEST(Sockets, a_cut_relay_resets_connections_and_refuses_new_ones) {
  RelayedServer relayed;
  LoopbackClient old_client(relayed.relay_port);
  CHECK(Contains(relayed.Ask(old_client), "hello"));
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kCut)));
  CHECK(relayed.Ask(old_client).empty());
  CHECK(old_client.ended());
  CHECK(!LoopbackClient(relayed.relay_port).connected());
  CHECK(core::IsOk(relayed.relay.SetMode(RelayMode::kPass)));
  LoopbackClient new_client(relayed.relay_port);
  CHECK(Contains(relayed.Ask(new_client), "hello"));
}
