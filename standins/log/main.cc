#include <CLI/CLI.hpp>
#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <string>   // string

#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/program.h"
#include "standins/log/log_server.h"

using namespace coppervalve::standin;  // NOLINT

int main(int argc, char** argv) {
  CLI::App app("Stand-in of the platform's log service and VM list");
  std::string listen = "127.0.0.1:7100";
  uint64_t vm_lag_ms = 0;
  LogServerOptions options;
  app.add_option("--listen", listen, "ip:port to serve on");
  app.add_option("--retain-entries", options.retain_entries,
                 "entries kept; 0 keeps all");
  app.add_option("--max-appends", options.max_appends_per_second,
                 "appends accepted per second; 0 accepts all");
  app.add_option("--vm-lag-ms", vm_lag_ms, "delay of the reported VM list");
  CLI11_PARSE(app, argc, argv);
  options.vm_lag = std::chrono::milliseconds(vm_lag_ms);

  EventLoop loop;
  LogServer server(loop, options);
  return ServeUntilTerminated(
      loop, listen,
      [&server](const HttpRequest& request, const HttpExchange& exchange) {
        server.Handle(request, exchange);
      });
}
