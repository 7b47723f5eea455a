#ifndef COPPERVALVE_TESTS_ENTRY_CRASH_FLEET_H_
#define COPPERVALVE_TESTS_ENTRY_CRASH_FLEET_H_

#include <optional>  // optional
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/entry/crash_record.h"

namespace coppervalve::entry::testing {

/// @brief Upstreams that end, routers that read each other's beats late, and
/// callers that come back: all in virtual time, from one seed.
class CrashFleet {
 public:
  CrashFleet(uint64_t seed, size_t routers, size_t upstreams);

  /// @brief A caller's request comes to a router. @return whether it was sent
  bool Ask(size_t router, const std::string& body, bool ends_upstreams);
  /// @brief Upstreams end, for reasons of their own.
  void EndSome(size_t count);
  /// @brief Lets time pass.
  void Pass(double seconds);

  size_t RandomRouter() { return m_random() % m_records.size(); }
  double now() const { return m_now; }
  /// Bodies whose run an upstream's end cut since the last call.
  std::vector<std::string> TakeCut();

 private:
  struct Run {
    size_t router;
    size_t upstream;
    uint64_t start;
    std::string body;
    RequestPrint print;
    double ends_at;
    bool ends_upstream;
    bool tried_alone;
  };
  struct Word {
    double at;
    v1::RouterBeat beat;
    size_t from;
  };
  struct Proof {
    double at;
    size_t router;
    uint64_t start;
  };
  struct Machine {
    uint64_t start = 0;
    double down_until = 0;
  };
  bool Owns(size_t router, const RequestPrint& print) const;
  void End(size_t upstream);
  void Tell(size_t router);
  void FinishRuns();
  void Deliver();
  double Uniform(double from, double to);

  std::mt19937_64 m_random;
  std::vector<CrashRecord> m_records;
  std::vector<Machine> m_machines;
  std::vector<Run> m_runs;
  std::vector<Word> m_words;
  std::vector<Proof> m_proofs;
  std::vector<std::string> m_cut;
  uint64_t m_starts = 0;
  double m_now = 0;
};

}  // namespace coppervalve::entry::testing

#endif  // COPPERVALVE_TESTS_ENTRY_CRASH_FLEET_H_
