#ifndef COPPERVALVE_TESTS_ENTRY_READER_FLEET_H_
#define COPPERVALVE_TESTS_ENTRY_READER_FLEET_H_

#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <optional>    // optional
#include <queue>       // priority_queue
#include <vector>      // vector

#include "coppervalve/entry/call_timeouts.h"
#include "coppervalve/entry/read_plan.h"

namespace coppervalve::entry::testing {

/// @brief How a router reads: its requests and timeouts.
struct Reading {
  ReadPlanOptions plan;
  CallTimeouts timeouts;           ///< the plan sets that of the first byte
  core::Duration wait{1'000'000};  ///< of a long poll
  size_t keys = 1;
  bool spreads = true;  ///< as the size of the fleet demands
};

/// @return how the product reads the configuration
Reading ProductReading();

/// @brief Size of the fleet, and what its store and links carry.
struct ReaderFleetOptions {
  size_t routers = 0;
  double version_bytes = 0;
  double store_bytes_per_second = 80e6;  ///< shared by all readers
  double link_bytes_per_second = 2.5e6;  ///< of one small VM
};

/// @brief Simulates in virtual time routers that follow the configuration. They
/// share the rate of the store, which also sends answers to calls that have
/// timed out, and each router has its own link.
class ReaderFleet {
 public:
  ReaderFleet(ReaderFleetOptions options, const Reading& reading);

  /// @brief A version is written at each of these times.
  void WriteVersions(const std::vector<double>& times);
  /// @brief The first routers cannot connect to the store, from `from` to `to`.
  void Partition(size_t routers, double from, double to);
  /// @brief The store rejects calls of the first routers, from `from` to `to`.
  void Refuse(size_t routers, double from, double to);
  /// @brief The store answers nobody from `from` to `to`, and never the calls
  /// that were in progress or arrived then.
  void Silence(double from, double to);
  /// @brief Calls that arrive from `from` to `to` are answered that much later.
  void Slow(double from, double to, double delay_seconds);
  void Run(double until);

  /// @return the longest time that a router could reach the store, without
  /// interruption, and had neither a version that was written nor a newer one
  double LongestDelay() const;
  /// @return when all routers have the newest version in force
  double AllInForceAt() const;
  /// @return bytes sent by the store, divided by those of one version for each
  /// router
  double VersionsSentPerRouter() const;

 private:
  struct Outage {
    double from = 0;
    double to = 0;
    enum class Kind : uint8_t { kUnconnectable, kRefuses, kSilent };
    Kind kind = Kind::kUnconnectable;
    bool Contains(double at) const { return from <= at && at < to; }
    /// @return whether an answer that is sent between these times is lost
    bool Loses(double began, double sent) const;
    /// @return the longest part of a span that is outside
    double LongestOutside(double begin, double end) const;
  };
  struct Slowness {
    double from = 0;
    double to = 0;
    double delay_seconds = 0;
  };
  struct Reader {
    explicit Reader(const Reading& reading) : plan(reading.plan) {}
    ReadPlan plan;
    std::optional<Outage> outage;
    std::vector<double> in_force_at;  ///< by version; infinite = never
  };
  struct Event {
    double at;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Request {
    size_t router = 0;
    double began = 0;
    ReadStep::Call call = ReadStep::Call::kRecords;
    core::Duration patience{};
    bool page() const {
      return call == ReadStep::Call::kFirstNewestPage ||
             call == ReadStep::Call::kRepeatPage;
    }
    bool polls() const { return call == ReadStep::Call::kRecords; }
  };

  void Schedule(double at, std::function<void()> run);
  double NextFraction();
  void ScheduleStep(size_t router, const ReadStep& step);
  void Call(const Request& request);
  void Answer(const Request& request);
  void SetSpread(Reader& reader);
  void OnAnswer(const Request& request, uint64_t next, uint64_t end);
  ReadStep NextStep(const Request& request, uint64_t next, uint64_t end);
  uint64_t RecordsIn(const Request& request) const;
  double BytesOf(const Request& request) const;
  void FailAt(const Request& request, double at);
  double DelayOfAnswer(const Request& request) const;
  double FirstByteTimeout(const Request& request) const;
  uint64_t Written() const;
  double DelayOf(const Reader& reader, size_t version) const;

  ReaderFleetOptions m_options;
  Reading m_reading;
  std::vector<Reader> m_readers;
  std::vector<double> m_written_at;
  std::priority_queue<Event> m_events;
  std::vector<Request> m_waiting;
  Slowness m_slowness;
  uint64_t m_order = 0;
  double m_now = 0;
  double m_fraction = 0;
  double m_store_free = 0;
  double m_bytes_sent = 0;
};

}  // namespace coppervalve::entry::testing

#endif  // COPPERVALVE_TESTS_ENTRY_READER_FLEET_H_
