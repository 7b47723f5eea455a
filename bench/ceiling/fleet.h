#ifndef COPPERVALVE_BENCH_CEILING_FLEET_H_
#define COPPERVALVE_BENCH_CEILING_FLEET_H_

#include <cstdint>     // uint32_t, uint64_t
#include <deque>       // deque
#include <functional>  // function
#include <memory>      // unique_ptr
#include <pcg_random.hpp>
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/entry/allocation_ledger.h"

namespace coppervalve::bench {

/// @brief How the tokens that a router may spend are determined.
enum class Policy : uint8_t {
  kCeilings,    ///< the product's allocation ledgers on a log
  kEqualSplit,  ///< each router has a fixed share of each total
};

/// @brief Size and load of the fleet.
struct FleetOptions {
  uint32_t routers = 6;
  uint32_t accounts = 10;
  /// Number of accounts that use only two routers each.
  uint32_t two_router_accounts = 2;
  double requests_per_second = 110;
  /// Ratio of the prepaid totals to the expected use until the end.
  double prepaid_ratio = 1.3;
  double end = 50;  ///< seconds
  uint64_t seed = 1;
  entry::AllocationOptions book;
};

/// @brief Results of a run.
struct Outcome {
  uint64_t requests = 0;
  uint64_t served = 0;
  /// Refused although the account's total covered the request.
  uint64_t false_refusals = 0;
  int64_t overspend = 0;       ///< tokens spent beyond totals, all accounts
  int64_t stranded = 0;        ///< claimed by ended incarnations, unspent
  int64_t total = 0;           ///< prepaid tokens of all accounts
  uint64_t records = 0;        ///< written to the log
  uint64_t late_requests = 0;  ///< in the last five seconds
  uint64_t late_served = 0;
};

/// @brief Simulates routers with the product's allocation ledgers on an
/// in-memory log in virtual time. Deterministic on every machine.
class Fleet {
 public:
  Fleet(const FleetOptions& options, Policy policy);

  /// @brief Simulates requests until a time in seconds.
  void RunUntil(double seconds);
  /// @brief Disconnects routers [first, last) from the log, or reconnects them.
  void SetPartitioned(uint32_t first, uint32_t last, bool partitioned);
  /// @brief How a router ends. It restarts after one second.
  enum class End : uint8_t {
    kProcess,       ///< the process ends, the VM keeps running
    kPowerFailure,  ///< the VM reboots
  };
  void Kill(uint32_t router, End end);
  void KillAll(End end);
  /// @brief Shuts a router down gracefully: it returns its unused tokens, ends
  /// and restarts.
  void Drain(uint32_t router);
  /// @brief Multiplies the original load of an account by `times`.
  void SetLoadFactor(uint32_t account, double times);
  Outcome Finish();

 private:
  struct Request {
    uint32_t account = 0;
    int64_t max_tokens = 0;
    int64_t used = 0;
    double ends = 0;  ///< in seconds; of a waiting request: its timeout
  };
  struct Router {
    std::unique_ptr<entry::AllocationLedger> book;
    std::vector<int64_t> split;  ///< rest of its fixed share, by account
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    size_t read = 0;  ///< records read from the log
    double next_heartbeat = 0;
    double starts_at = 0;
    uint64_t boot = 1;          ///< boot number of the VM
    std::vector<int64_t> used;  ///< by the ended incarnation, by account
    bool up = false;
    bool partitioned = false;
    std::deque<Request> waiting;
    std::deque<Request> running;
  };
  struct Record {
    uint32_t router = 0;
    v1::RouterBeat beat;
  };

  void Step();
  bool InFinalSpan() const;
  void StartRouter(uint32_t index);
  void CountStranded(const Router& router,
                     const v1::RouterBeat& last,
                     bool held_back);
  void ReadLog(uint32_t index);
  void WriteHeartbeat(uint32_t index, bool closing = false);
  void EndRequests(Router& router);
  void GenerateRequests();
  void Serve(uint32_t index, const Request& request);
  bool TryServe(Router& router, const Request& request);
  void Refuse(const Request& request);
  uint32_t RouterFor(uint32_t account);
  double Uniform();
  entry::Configuration MakeConfiguration() const;

  FleetOptions m_options;
  Policy m_policy;
  pcg64 m_random;
  double m_now = 0;
  std::vector<Router> m_routers;
  std::vector<Record> m_log;
  std::vector<double> m_weights;       ///< share of the requests, by account
  std::vector<double> m_load_factors;  ///< factor on that share, by account
  std::vector<int64_t> m_totals;       ///< by account
  std::vector<int64_t> m_spent;        ///< actually spent, by account
  std::vector<int64_t> m_in_use;       ///< currently reserved, by account
  Outcome m_outcome;
};

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_CEILING_FLEET_H_
