#include <CLI/CLI.hpp>  // App

#include <functional>  // function
#include <string>      // string
#include <utility>     // pair
#include <vector>      // vector

#include "bench/capacity/figure.h"
#include "bench/capacity/measures.h"

int main(int argc, char** argv) {
  using namespace coppervalve::bench;
  Figures figures;
  ControlInputs inputs;
  const std::vector<std::pair<std::string, std::function<void()>>> topics{
      {"memory", [&] { MeasureMemory(figures); }},
      {"fold", [&] { MeasureFold(figures, inputs); }},
      {"contacts", [&] { MeasureContacts(figures, inputs); }},
      {"idle", [&] { MeasureIdle(figures, inputs); }},
      {"requests", [&] { MeasureRequests(figures, inputs); }},
      {"changes", [&] { MeasureChanges(figures, inputs); }},
      {"rules", [&] { MeasureRules(figures); }},
      {"placement", [&] { MeasurePlacement(figures); }},
  };
  std::string only;
  CLI::App app("Measures the costs of one router core at the design size.");
  app.add_option(
      "--only", only,
      "measure one topic: memory, fold, contacts, idle, requests, changes, "
      "rules or placement");
  CLI11_PARSE(app, argc, argv);
  for (const auto& [name, measure] : topics) {
    if (only.empty() || only == name) {
      measure();
    }
  }
  if (only.empty()) {
    ReportControl(figures, inputs);
  }
  return figures.exceeded() ? 1 : 0;
}
