#include "tools/load/upstream_usage.h"

#include <boost/json/array.hpp>
#include <fstream>   // ifstream, getline
#include <optional>  // optional
#include <utility>   // move

#include "tools/load/http_exchange.h"
#include "tools/load/json.h"

namespace coppervalve::load {

namespace {

namespace json = boost::json;
using core::Tokens;

constexpr unsigned kHttpOk = 200;
constexpr int64_t kPermille = 1'000;

Tokens CostOf(Tokens work, const v1::Upstream& upstream) {
  const int64_t price =
      upstream.price_permille() == 0 ? kPermille : upstream.price_permille();
  return Tokens((work.value() * price + kPermille - 1) / kPermille);
}

std::optional<json::array> RecordsOverHttp(const v1::Upstream& upstream) {
  ExchangeCall call;
  call.address = upstream.address();
  call.target = "/records";
  const ExchangeReply reply = ExchangeBlocking(std::move(call));
  if (reply.result != ExchangeResult::kComplete || reply.status != kHttpOk) {
    return std::nullopt;
  }
  const auto document = ParseJson(reply.body);
  if (!document || !document->is_array()) {
    return std::nullopt;
  }
  return document->get_array();
}

// An engine writes one line when a run starts and one when it ends; the later
// line replaces the earlier one. A service writes one line per call.
std::optional<json::array> RecordsInFile(const v1::Upstream& upstream,
                                         const std::string& folder) {
  std::ifstream stream(folder + "/" + upstream.id() + ".jsonl");
  if (folder.empty() || !stream) {
    return std::nullopt;
  }
  json::array records;
  std::map<std::string, size_t> running;
  for (std::string line; std::getline(stream, line);) {
    const auto document = ParseJson(line);
    if (!document || !document->is_object()) {
      continue;
    }
    const json::object& record = document->get_object();
    const std::string id = StringMember(record, "request_id");
    const auto begun = running.find(id);
    if (begun != running.end()) {
      records[begun->second] = record;
      running.erase(begun);
      continue;
    }
    if (StringMember(record, "state") == "running") {
      running[id] = records.size();
    }
    records.emplace_back(record);
  }
  return records;
}

UpstreamRun RunOf(const v1::Upstream& upstream, const json::object& record) {
  UpstreamRun run;
  run.upstream = upstream.id();
  run.request_id = StringMember(record, "request_id");
  run.account = StringMember(record, "account");
  run.key = StringMember(record, "key");
  run.at_service = upstream.kind() == v1::PLAIN_SERVICE;
  if (run.at_service) {
    const std::string method = StringMember(record, "method");
    run.changes_state = method != "GET" && method != "HEAD";
    run.whole = true;
    run.cost = Tokens(upstream.call_cost_tokens());
    return run;
  }
  run.work = Tokens(NumberMember(record, "prompt_tokens") +
                    NumberMember(record, "output_tokens"));
  run.cost = CostOf(run.work, upstream);
  run.whole = BoolMember(record, "whole");
  return run;
}

}  // namespace

UpstreamUsage ReadUpstreamUsage(const v1::Configuration& configuration,
                                const std::string& record_folder) {
  UpstreamUsage usage;
  for (const v1::Upstream& upstream : configuration.upstreams()) {
    std::optional<json::array> records = RecordsOverHttp(upstream);
    const bool unreachable = !records;
    if (unreachable) {
      records = RecordsInFile(upstream, record_folder);
    }
    if (!records) {
      usage.missing.push_back(upstream.id());
      continue;
    }
    for (const json::value& record : *records) {
      if (!record.is_object()) {
        continue;
      }
      const json::object& object = record.get_object();
      usage.begun_only +=
          unreachable && StringMember(object, "state") == "running" ? 1 : 0;
      usage.runs.push_back(RunOf(upstream, object));
    }
  }
  return usage;
}

std::map<std::string, Tokens> UsageByBudget(
    const v1::Configuration& configuration,
    const UpstreamUsage& usage) {
  std::map<std::string, std::string> budget_of;
  for (const v1::Account& account : configuration.accounts()) {
    budget_of[account.id()] = account.budget();
  }
  std::map<std::string, Tokens> used;
  for (const UpstreamRun& run : usage.runs) {
    used[budget_of[run.account]] += run.cost;
  }
  return used;
}

}  // namespace coppervalve::load
