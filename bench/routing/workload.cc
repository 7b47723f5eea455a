#include "bench/routing/workload.h"

#include <cmath>  // exp, log

namespace coppervalve::bench {

namespace {

constexpr double kUniformRange = 1 << 30;

double UniformUnit(const routing::RandomSource& random) {
  return (static_cast<double>(routing::UniformBelow(random, 1 << 30)) + 0.5) /
         kUniformRange;
}

}  // namespace

void Workload::Offer(const Stream& stream) {
  // Poisson arrivals: exponential gaps within the step.
  double left = 1;
  while (true) {
    left += std::log(UniformUnit(m_random)) / stream.jobs_per_step;
    if (left < 0) {
      return;
    }
    Job job;
    job.account = stream.account;
    job.admission_class = stream.admission_class;
    job.max_wait = stream.max_wait;
    job.prefix = Prefix(stream.prefixes);
    const auto span =
        static_cast<uint64_t>(stream.max_output - stream.min_output + 1);
    job.output_steps =
        stream.min_output +
        static_cast<int64_t>(routing::UniformBelow(m_random, span));
    m_fleet.Arrive(routing::UniformBelow(m_random, m_fleet.routers()), job);
  }
}

uint64_t Workload::Prefix(uint64_t prefixes) {
  if (prefixes == 0) {
    return 0;
  }
  // Log-uniform ranks: the k-th prefix gets a share of the jobs proportional to
  // about 1/k (Zipf).
  const double rank =
      std::exp(UniformUnit(m_random) * std::log(static_cast<double>(prefixes)));
  constexpr uint64_t kSpread = 0x9E3779B97F4A7C15;
  return static_cast<uint64_t>(rank) * kSpread;
}

double CapacityPerStep(const FleetOptions& options, double mean_steps) {
  double slots = 0;
  for (const EngineOptions& engine : options.engines) {
    slots += static_cast<double>(engine.slots) * engine.speed;
  }
  return slots / mean_steps;
}

}  // namespace coppervalve::bench
