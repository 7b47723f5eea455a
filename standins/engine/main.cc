#include <CLI/CLI.hpp>
#include <chrono>   // duration, duration_cast, milliseconds
#include <cstdint>  // uint64_t
#include <string>   // string

#include "coppervalve/core/units.h"
#include "coppervalve/standin/event_loop.h"
#include "coppervalve/standin/http_server.h"
#include "coppervalve/standin/program.h"
#include "standins/engine/engine_server.h"

using namespace coppervalve::standin;  // NOLINT

int main(int argc, char** argv) {
  CLI::App app("Stand-in of a model engine");
  std::string listen = "127.0.0.1:7200";
  double step_ms = 5;
  uint64_t report_lag_ms = 200;
  EngineOptions options;
  app.add_option("--listen", listen, "ip:port to serve on");
  app.add_option("--step-ms", step_ms, "duration of one batch step")
      ->check(CLI::PositiveNumber);
  app.add_option("--report-lag-ms", report_lag_ms,
                 "delay of the reported load");
  app.add_option("--max-batch", options.max_batch, "requests that run at once")
      ->check(CLI::PositiveNumber);
  app.add_option("--queue", options.queue_capacity, "requests that may wait");
  app.add_option("--cached-prefixes", options.cached_prefixes,
                 "prompt prefixes kept; 0 keeps none");
  app.add_option("--prefill-tokens-per-step", options.prefill_tokens_per_step,
                 "prompt tokens processed per step")
      ->check(CLI::PositiveNumber);
  app.add_flag("--early-stop", options.early_stop,
               "answers may be shorter than max_tokens");
  app.add_flag("--checks-fencing", options.checks_fencing,
               "refuse orders with an old fencing number");
  app.add_option("--models", options.models, "models served; none: all")
      ->delimiter(',');
  app.add_option("--record", options.record_path, "file for usage records");
  CLI11_PARSE(app, argc, argv);
  options.step_time = std::chrono::duration_cast<coppervalve::core::Duration>(
      std::chrono::duration<double, std::milli>(step_ms));
  options.report_lag = std::chrono::milliseconds(report_lag_ms);

  EventLoop loop;
  EngineServer server(loop, options);
  return ServeUntilTerminated(
      loop, listen,
      [&server](const HttpRequest& request, const HttpExchange& exchange) {
        server.Handle(request, exchange);
      });
}
