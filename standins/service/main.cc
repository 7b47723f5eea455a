#include <CLI/CLI.hpp>
#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <string>   // string

#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/program.h"
#include "standins/service/service_server.h"

using namespace coppervalve::standin;  // NOLINT

int main(int argc, char** argv) {
  CLI::App app("Stand-in of a plain service");
  std::string listen = "127.0.0.1:7300";
  uint64_t latency_ms = 0;
  ServiceOptions options;
  app.add_option("--listen", listen, "ip:port to serve on");
  app.add_option("--name", options.name, "name shown in answers");
  app.add_option("--latency-ms", latency_ms, "time from effect to response");
  app.add_option("--record", options.record_path, "file for call records");
  CLI11_PARSE(app, argc, argv);
  options.latency = std::chrono::milliseconds(latency_ms);

  EventLoop loop;
  ServiceServer server(loop, options);
  return ServeUntilTerminated(
      loop, listen,
      [&server](const HttpRequest& request, const HttpExchange& exchange) {
        server.Handle(request, exchange);
      });
}
