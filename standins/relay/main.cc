#include <CLI/CLI.hpp>
#include <cstdlib>   // EXIT_FAILURE
#include <iostream>  // cerr
#include <string>    // string

#include "coppervalve/standin/address.h"
#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/program.h"
#include "coppervalve/standin/tcp_relay.h"
#include "standins/relay/relay_control.h"

using namespace coppervalve;           // NOLINT
using namespace coppervalve::standin;  // NOLINT

namespace {

int Fail(const core::Error& error) {
  std::cerr << core::ToString(error) << std::endl;
  return EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("TCP relay with fault injection");
  std::string listen;
  std::string to;
  std::string control;
  app.add_option("--listen", listen, "ip:port to relay from")->required();
  app.add_option("--to", to, "ip:port to relay to")->required();
  app.add_option("--control", control, "ip:port of the HTTP control interface")
      ->required();
  CLI11_PARSE(app, argc, argv);

  const auto from = ParseAddress(listen);
  const auto target = ParseAddress(to);
  for (const auto* address : {&from, &target}) {
    if (!core::IsOk(*address)) {
      return Fail(core::Failure(*address));
    }
  }
  EventLoop loop;
  TcpRelay relay(loop, core::Value(from), core::Value(target));
  const core::Status started = relay.Start();
  if (!core::IsOk(started)) {
    return Fail(core::Failure(started));
  }
  return ServeUntilTerminated(
      loop, control,
      [&relay](const HttpRequest& request, const HttpExchange& exchange) {
        ControlRelay(relay, request, exchange);
      });
}
