#ifndef COPPERVALVE_BENCH_CEILING_FLEET_H_
#define COPPERVALVE_BENCH_CEILING_FLEET_H_

#include <cstdint>     // uint32_t, uint64_t
#include <deque>       // deque
#include <functional>  // function
#include <memory>      // unique_ptr
#include <pcg_random.hpp>
#include <string>  // string
#include <vector>  // vector

#include "coppervalve/entry/allotment_book.h"

namespace coppervalve::bench {

/// @brief Who decides what a router may spend.
enum class Policy : uint8_t {
  kCeilings,    ///< the product's books on a log
  kEqualSplit,  ///< each router owns a fixed part of each total
};

/// @brief Size of the fleet and of its load.
struct FleetOptions {
  uint32_t routers = 6;
  uint32_t accounts = 10;
  /// Of these, each comes to two routers only.
  uint32_t accounts_of_two = 2;
  double requests_per_second = 110;
  /// Totals over what is expected to be used until the end.
  double prepaid_ratio = 1.3;
  double end = 50;  ///< seconds
  uint64_t seed = 1;
  entry::BookOptions book;
};

/// @brief What came of a run.
struct Outcome {
  uint64_t requests = 0;
  uint64_t served = 0;
  /// Refused though the account's total would have covered it.
  uint64_t false_refusals = 0;
  int64_t overspend = 0;       ///< tokens past totals, of all accounts
  int64_t stranded = 0;        ///< claimed by starts that ended, never spent
  int64_t total = 0;           ///< prepaid, of all accounts
  uint64_t records = 0;        ///< written to the log
  uint64_t late_requests = 0;  ///< in the last five seconds
  uint64_t late_served = 0;
};

/// @brief Routers with the product's books on a log in memory, in virtual
/// time. The same figures on every machine.
class Fleet {
 public:
  Fleet(const FleetOptions& options, Policy policy);

  /// @brief Runs on, serving, until a time in seconds.
  void RunUntil(double seconds);
  /// @brief Routers [first, last) reach the log, or don't.
  void Cut(uint32_t first, uint32_t last, bool cut);
  /// @brief How a router ends. It starts again after a second.
  enum class End : uint8_t {
    kProcess,  ///< the VM goes on
    kPower,    ///< the VM starts anew, too
  };
  void Kill(uint32_t router, End end);
  void KillAll(End end);
  /// @brief A router gives back what it does not use, ends, and starts again.
  void Drain(uint32_t router);
  /// @brief From now on an account sends `times` what it sent at first.
  void Press(uint32_t account, double times);
  Outcome Finish();

 private:
  struct Request {
    uint32_t account = 0;
    int64_t most = 0;
    int64_t used = 0;
    double ends = 0;  ///< in seconds; when waiting: gives up
  };
  struct Router {
    std::unique_ptr<entry::AllotmentBook> book;
    std::vector<int64_t> split;  ///< left of the own part, by account
    uint64_t epoch = 0;
    uint64_t sequence = 0;
    size_t read = 0;  ///< records of the log that are known
    double next_beat = 0;
    double starts_at = 0;
    uint64_t boot = 1;          ///< of the VM
    std::vector<int64_t> used;  ///< by the start that ended, by account
    bool up = false;
    bool cut = false;
    std::deque<Request> waiting;
    std::deque<Request> running;
  };
  struct Record {
    uint32_t router = 0;
    v1::RouterBeat beat;
  };

  void Step();
  bool Late() const;
  void StartRouter(uint32_t index);
  void CountStranded(const Router& router,
                     const v1::RouterBeat& last,
                     bool held_back);
  void ReadLog(uint32_t index);
  void Beat(uint32_t index, bool closing = false);
  void EndRequests(Router& router);
  void Arrivals();
  void Serve(uint32_t index, const Request& request);
  bool TryServe(Router& router, const Request& request);
  void Refuse(const Request& request);
  uint32_t RouterFor(uint32_t account);
  double Uniform();
  entry::Configuration ConfigurationOf() const;

  FleetOptions m_options;
  Policy m_policy;
  pcg64 m_random;
  double m_now = 0;
  std::vector<Router> m_routers;
  std::vector<Record> m_log;
  std::vector<double> m_weights;   ///< share of the requests, by account
  std::vector<double> m_pressure;  ///< times that share, by account
  std::vector<int64_t> m_totals;   ///< by account
  std::vector<int64_t> m_spent;    ///< truly, by account
  std::vector<int64_t> m_in_use;   ///< reserved at present, by account
  Outcome m_outcome;
};

}  // namespace coppervalve::bench

#endif  // COPPERVALVE_BENCH_CEILING_FLEET_H_
