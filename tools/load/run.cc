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
#include "tools/load/pause.h"
#include "tools/load/tally.h"

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
    m_tallies.reserve(plan.classes.size());
    for (const ClassPlan& one : plan.classes) {
      m_tallies.emplace_back(one);
      m_callers.push_back(MakeCallers(one));
    }
  }

  void Run() {
    m_start = Clock::now();
    milliseconds patience{0};
    for (size_t i = 0; i < m_tallies.size(); ++i) {
      patience = std::max(patience, m_tallies[i].plan().patience);
      asio::co_spawn(m_context, RunClass(i), asio::detached);
    }
    m_context.run_for(m_plan.max_time + 2 * patience + kMargin);
  }

  std::vector<Tally>& tallies() { return m_tallies; }

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
    const ClassPlan& plan = m_tallies[index].plan();
    const std::chrono::duration<double> gap(1 / plan.rate_per_s);
    for (size_t number = 0; number < plan.requests; ++number) {
      const auto due = std::chrono::duration_cast<Clock::duration>(
          gap * static_cast<double>(number));
      if (due > m_plan.max_time) {
        break;
      }
      co_await PauseUntil(m_start + due);
      m_tallies[index].CountSent();
      asio::co_spawn(m_context, RunOne(index, number), asio::detached);
    }
  }

  asio::awaitable<void> RunOne(size_t index, size_t number) {
    const Callers& callers = m_callers[index];
    const Outcome outcome =
        co_await callers[number % callers.size()]->Send(number);
    m_tallies[index].Count(outcome);
  }

  const LoadPlan& m_plan;
  std::mt19937_64 m_random;
  std::vector<Tally> m_tallies;
  std::vector<Callers> m_callers;
  Clock::time_point m_start;
  // Declared last, so that unfinished coroutines are destroyed before the
  // members that they use.
  asio::io_context m_context;
};

json::object ReportOf(const std::vector<Tally>& tallies, bool judged) {
  json::array classes;
  json::array keys;
  for (const Tally& tally : tallies) {
    classes.emplace_back(tally.ToJson(judged));
    tally.AppendKeys(keys);
  }
  return {{"classes", std::move(classes)}, {"keys", std::move(keys)}};
}

}  // namespace

core::Result<json::object> RunLoad(const LoadPlan& plan,
                                   const ClairvoyantSource& source) {
  LoadRun run(plan);
  run.Run();
  if (source.log.empty()) {
    return ReportOf(run.tallies(), false);
  }
  const auto missing = JudgeRefusals(source, run.tallies());
  if (!core::IsOk(missing)) {
    return core::Failure(missing);
  }
  json::object report = ReportOf(run.tallies(), true);
  report["clairvoyant_without_records_of"] =
      json::array(core::Value(missing).begin(), core::Value(missing).end());
  return report;
}

}  // namespace coppervalve::load
