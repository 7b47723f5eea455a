#ifndef COPPERVALVE_TOOLS_LOAD_CLASS_STATS_H_
#define COPPERVALVE_TOOLS_LOAD_CLASS_STATS_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstddef>  // size_t
#include <map>      // map
#include <string>   // string
#include <vector>   // vector

#include "tools/load/outcome.h"
#include "tools/load/plan.h"

namespace coppervalve::load {

/// @brief Statistics of the requests of one class.
class ClassStats {
 public:
  explicit ClassStats(const ClassPlan& plan) : m_plan(plan) {}

  void CountSent() { ++m_sent; }
  void Count(const Outcome& outcome);
  void CountFalseRefusal() { ++m_false_refusals; }

  /// @return times of the refusals for lack of tokens, in chronological order
  const std::vector<Clock::time_point>& token_refusals() const {
    return m_token_refusals;
  }
  const ClassPlan& plan() const { return m_plan; }

  /// @brief This class's part of the report.
  /// @param refusals_checked whether false refusals were counted
  boost::json::object ToJson(bool refusals_checked) const;
  /// @brief Appends the requests that the audit compares with the upstreams'
  /// records.
  void AppendKeys(boost::json::array& keys) const;

 private:
  struct Ended {
    std::string key;
    std::string request_id;
    Verdict verdict;
    bool earlier_unknown;
  };

  void CountTimes(const Outcome& outcome);

  const ClassPlan& m_plan;
  size_t m_sent = 0;
  size_t m_attempts = 0;
  size_t m_false_refusals = 0;
  std::map<Verdict, size_t> m_verdicts;
  std::map<std::string, size_t> m_refused_by_id;
  std::map<std::string, size_t> m_unknown_by_id;
  std::vector<Clock::time_point> m_token_refusals;
  std::vector<Ended> m_ended;
  std::vector<double> m_first_token_ms;
  std::vector<double> m_gaps_ms;
  std::vector<double> m_total_ms;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_CLASS_STATS_H_
