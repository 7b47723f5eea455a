#include "tools/load/run.h"

#include <algorithm>  // max
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <memory>   // make_unique, unique_ptr
#include <random>   // mt19937_64, random_device
#include <utility>  // move
#include <vector>   // vector

#include "tools/load/caller.h"
#include "tools/load/class_stats.h"
#include "tools/load/pause.h"

namespace coppervalve::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kMargin{2'000};

class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan)
      : m_plan(plan), m_random(std::random_device{}()) {
    m_class_stats.reserve(plan.classes.size());
    for (const ClassPlan& one : plan.classes) {
      m_class_stats.emplace_back(one);
      m_callers.push_back(MakeCallers(one));
    }
  }

  void Run() {
    m_start = Clock::now();
    milliseconds request_timeout{0};
    for (size_t i = 0; i < m_class_stats.size(); ++i) {
      request_timeout =
          std::max(request_timeout, m_class_stats[i].plan().request_timeout);
      asio::co_spawn(m_context, RunClass(i), asio::detached);
    }
    m_context.run_for(m_plan.max_time + 2 * request_timeout + kMargin);
  }

  std::vector<ClassStats>& class_stats() { return m_class_stats; }

 private:
  using Callers = std::vector<std::unique_ptr<Caller>>;

  Callers MakeCallers(const ClassPlan& plan) {
    Callers callers;
    for (size_t i = 0; i < plan.callers; ++i) {
      callers.push_back(std::make_unique<Caller>(
          plan, AddressList(m_plan.routers, plan.api_key, i),
          [this] { return m_random(); }));
    }
    return callers;
  }

  // Requests start on schedule, however slow the responses are: independent
  // callers do not wait for each other.
  asio::awaitable<void> RunClass(size_t index) {
    const ClassPlan& plan = m_class_stats[index].plan();
    const std::chrono::duration<double> gap(1 / plan.rate_per_s);
    for (size_t number = 0; number < plan.requests; ++number) {
      const auto due = std::chrono::duration_cast<Clock::duration>(
          gap * static_cast<double>(number));
      if (due > m_plan.max_time) {
        break;
      }
      co_await PauseUntil(m_start + due);
      m_class_stats[index].CountSent();
      asio::co_spawn(m_context, RunRequest(index, number), asio::detached);
    }
  }

  asio::awaitable<void> RunRequest(size_t index, size_t number) {
    const Callers& callers = m_callers[index];
    const Outcome outcome =
        co_await callers[number % callers.size()]->Send(number);
    m_class_stats[index].Count(outcome);
  }

  const LoadPlan& m_plan;
  std::mt19937_64 m_random;
  std::vector<ClassStats> m_class_stats;
  std::vector<Callers> m_callers;
  Clock::time_point m_start;
  // Declared last, so that unfinished coroutines are destroyed before the
  // members that they use.
  asio::io_context m_context;
};

json::object ReportOf(const std::vector<ClassStats>& class_stats,
                      bool refusals_checked) {
  json::array classes;
  json::array keys;
  for (const ClassStats& stats : class_stats) {
    classes.emplace_back(stats.ToJson(refusals_checked));
    stats.AppendKeys(keys);
  }
  return {{"classes", std::move(classes)}, {"keys", std::move(keys)}};
}

}  // namespace

core::Result<json::object> RunLoad(const LoadPlan& plan,
                                   const FalseRefusalSource& source) {
  LoadRun run(plan);
  run.Run();
  if (source.log.empty()) {
    return ReportOf(run.class_stats(), false);
  }
  const auto missing = CountFalseRefusals(source, run.class_stats());
  if (!core::IsOk(missing)) {
    return core::Failure(missing);
  }
  json::object report = ReportOf(run.class_stats(), true);
  report["clairvoyant_without_records_of"] =
      json::array(core::Value(missing).begin(), core::Value(missing).end());
  return report;
}

}  // namespace coppervalve::load
