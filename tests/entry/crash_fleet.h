#ifndef COPPERVALVE_TESTS_ENTRY_CRASH_FLEET_H_
#define COPPERVALVE_TESTS_ENTRY_CRASH_FLEET_H_

#include <optional>  // optional
#include <random>    // mt19937_64
#include <string>    // string
#include <vector>    // vector

#include "coppervalve/entry/crash_record.h"

namespace coppervalve::entry::testing {

/// @brief Simulates upstreams that terminate, routers that read each other's
/// heartbeats late, and callers that retry, in virtual time and from one seed.
class CrashFleet {
 public:
  CrashFleet(uint64_t seed, size_t routers, size_t upstreams);

  /// @brief Sends a caller's request to a router. @return whether the router
  /// forwarded it
  /// @param parts shared parts of its prompt
  bool Send(size_t router,
            const std::string& body,
            bool ends_upstreams,
            const std::vector<std::string>& parts = {});
  /// @brief Terminates random upstreams, independent of any request.
  void TerminateRandom(size_t count);
  /// @brief Advances the virtual time.
  void Advance(double seconds);

  size_t RandomRouter() { return m_random() % m_records.size(); }
  double now() const { return m_now; }
  /// Bodies of the requests that a termination interrupted since the last call.
  std::vector<std::string> TakeInterrupted();
  /// Number of upstreams that requests terminated, not TerminateRandom().
  size_t ended_by_requests() const { return m_ended_by_requests; }
  /// Number of routers that refuse a part of prompts.
  size_t RoutersThatRefuse(const std::string& part) const;
  const CrashRecord& record(size_t router) const { return m_records[router]; }
  /// Bytes that crash reports add to the router's heartbeat.
  size_t ReportBytes(size_t router) const;

 private:
  struct Run {
    size_t router;
    size_t upstream;
    uint64_t start;
    std::string body;
    RequestTraits traits;
    double writes_from;
    double ends_at;
    bool ends_upstream;
    std::optional<RequestFingerprint> trial;
  };
  struct SentHeartbeat {
    double at;
    v1::RouterBeat beat;
    size_t from;
  };
  struct EndNotice {
    double at;
    size_t router;
    uint64_t start;
  };
  struct Upstream {
    uint64_t start = 0;
    double down_until = 0;
  };
  bool Owns(size_t router, const RequestFingerprint& trait) const;
  bool Admit(size_t router,
             const RequestTraits& traits,
             std::optional<RequestFingerprint>& trial);
  void Terminate(size_t upstream);
  void SendHeartbeat(size_t router);
  void FinishRuns();
  void Deliver();
  double Uniform(double from, double to);

  std::mt19937_64 m_random;
  std::vector<CrashRecord> m_records;
  std::vector<Upstream> m_upstreams;
  std::vector<Run> m_runs;
  std::vector<SentHeartbeat> m_sent_heartbeats;
  std::vector<EndNotice> m_end_notices;
  std::vector<std::string> m_interrupted;
  uint64_t m_starts = 0;
  size_t m_ended_by_requests = 0;
  double m_now = 0;
};

}  // namespace coppervalve::entry::testing

#endif  // COPPERVALVE_TESTS_ENTRY_CRASH_FLEET_H_
