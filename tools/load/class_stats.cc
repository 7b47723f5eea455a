#include "tools/load/class_stats.h"

#include <algorithm>  // sort

namespace coppervalve::load {

namespace {

namespace json = boost::json;

constexpr const char* kExhausted = "CV-403";
constexpr const char* kBusy = "CV-404";

double Quantile(const std::vector<double>& sorted, double share) {
  const auto index =
      static_cast<size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

json::value Quantiles(std::vector<double> values) {
  if (values.empty()) {
    return nullptr;
  }
  std::sort(values.begin(), values.end());
  return json::object{{"count", values.size()},
                      {"p50", Quantile(values, 0.5)},
                      {"p90", Quantile(values, 0.9)},
                      {"p99", Quantile(values, 0.99)},
                      {"max", values.back()}};
}

json::object CountsOf(const std::map<std::string, size_t>& counts) {
  json::object object;
  for (const auto& [id, count] : counts) {
    object[id] = count;
  }
  return object;
}

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kWhole:
      return "whole";
    case Verdict::kWrong:
      return "wrong";
    case Verdict::kRefused:
      return "not_run";
    case Verdict::kUnknown:
      return "unknown";
    case Verdict::kCut:
      return "cut";
    case Verdict::kNotSent:
      return "not_sent";
  }
  return "";
}

}  // namespace

void ClassStats::Count(const Outcome& outcome) {
  const AttemptResult& last = outcome.last;
  m_attempts += outcome.attempts;
  ++m_verdicts[last.verdict];
  m_ended.push_back(
      {outcome.key, last.request_id, last.verdict, outcome.earlier_unknown});
  switch (last.verdict) {
    case Verdict::kWhole:
      CountTimes(outcome);
      return;
    case Verdict::kRefused:
      ++m_refused_by_id[last.error_id];
      if (last.error_id == kExhausted || last.error_id == kBusy) {
        m_token_refusals.push_back(outcome.ended_at);
      }
      return;
    case Verdict::kWrong:
    case Verdict::kUnknown:
    case Verdict::kCut:
    case Verdict::kNotSent:
      ++m_unknown_by_id[last.error_id];
      return;
  }
}

void ClassStats::CountTimes(const Outcome& outcome) {
  const AnswerTimes& times = outcome.last.times;
  if (times.first_token_ms) {
    m_first_token_ms.push_back(*times.first_token_ms);
  }
  m_gaps_ms.insert(m_gaps_ms.end(), times.gaps_ms.begin(), times.gaps_ms.end());
  m_total_ms.push_back(outcome.total_ms);
}

json::object ClassStats::ToJson(bool refusals_checked) const {
  const auto count = [this](Verdict verdict) {
    const auto found = m_verdicts.find(verdict);
    return found == m_verdicts.end() ? size_t{0} : found->second;
  };
  return {{"name", m_plan.name},
          {"account", m_plan.account},
          {"sent", m_sent},
          {"answered_whole", count(Verdict::kWhole)},
          {"refused_not_run", count(Verdict::kRefused)},
          {"refused_by_id", CountsOf(m_refused_by_id)},
          {"outcome_unknown", count(Verdict::kUnknown)},
          {"cut", count(Verdict::kCut)},
          {"wrong_answers", count(Verdict::kWrong)},
          {"not_sent", count(Verdict::kNotSent)},
          {"unfinished", m_sent - m_ended.size()},
          {"other_by_id", CountsOf(m_unknown_by_id)},
          {"false_refusals",
           refusals_checked ? json::value(m_false_refusals) : json::value()},
          {"attempts", m_attempts},
          {"latency_ms",
           {{"first_token", Quantiles(m_first_token_ms)},
            {"inter_token", Quantiles(m_gaps_ms)},
            {"total", Quantiles(m_total_ms)}}}};
}

void ClassStats::AppendKeys(json::array& keys) const {
  for (const Ended& ended : m_ended) {
    keys.push_back(json::object{{"account", m_plan.account},
                                {"key", ended.key},
                                {"verdict", NameOf(ended.verdict)},
                                {"request_id", ended.request_id},
                                {"earlier_unknown", ended.earlier_unknown},
                                {"non_idempotent", m_plan.non_idempotent}});
  }
}

}  // namespace coppervalve::load
