#ifndef BENCH_CAPACITY_CORE_DRIVER_H_
#define BENCH_CAPACITY_CORE_DRIVER_H_

#include <array>          // array
#include <cstddef>        // size_t
#include <cstdint>        // int64_t, uint64_t
#include <deque>          // deque
#include <map>            // map, multimap
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <string>         // string
#include <unordered_set>  // unordered_set
#include <variant>        // variant_size_v
#include <vector>         // vector

#include "bench/capacity/sizes.h"
#include "coppervalve/core/units.h"
#include "coppervalve/router/core.h"
#include "coppervalve/router/events.h"

namespace coppervalve::bench {

/// @brief Cost of handling the events of one kind.
struct EventCost {
  uint64_t events = 0;
  uint64_t allocations = 0;
  int64_t cpu_ns = 0;

  double AllocationsEach() const;
  double CpuMicrosecondsEach() const;
};

/// @brief Messages and their encoded bytes, without transport framing.
struct Volume {
  uint64_t count = 0;
  uint64_t bytes = 0;

  void Add(size_t size);
};

/// @brief Activity of the core since the last reset.
struct Traffic {
  std::array<EventCost, std::variant_size_v<router::Event>> costs;
  Volume appended;  ///< entries of this router
  /// Records in them, by kind.
  std::map<v1::Record::BodyCase, Volume> records;
  Volume read;            ///< entries read, of all routers
  Volume heartbeats;      ///< sent
  Volume ceiling_raises;  ///< ceilings sent to the witness
  Volume other_messages;  ///< sent
  uint64_t dispatches = 0;
  uint64_t refusals = 0;
  uint64_t error_lines = 0;
  std::string last_refusal;
  std::string last_error_line;

  Volume RecordsOf(v1::Record::BodyCase kind) const;
  uint64_t RecordCount() const;
  template <typename Event>
  const EventCost& Of() const {
    return costs[router::Event(Event{}).index()];
  }
  int64_t CpuNanoseconds() const;
};

/// @brief Request load of the core under test.
struct RequestLoad {
  double per_second = 0;
  size_t accounts = 1;
  double keyed_share = 0.5;
  core::Duration answer_time{};
  core::Tokens output;
};

/// @brief One router's share of the peak load at the design size.
/// @param accounts number of client accounts that send it
RequestLoad ShareOfPeak(size_t accounts);

/// @brief Drives one real router core in virtual time. Simulates the log
/// entries of the rest of the fleet, a witness that answers immediately,
/// contacts that send heartbeats, and engines that always answer.
class CoreDriver {
 public:
  explicit CoreDriver(const FleetSizes& sizes);
  ~CoreDriver();
  CoreDriver(const CoreDriver&) = delete;
  CoreDriver& operator=(const CoreDriver&) = delete;

  /// @brief Lets the core read the fleet's entries and join.
  void Start();
  void Advance(core::Duration time);
  void SetLoad(const RequestLoad& load) { m_load = load; }
  /// @brief Appends an entry as another router or an operator would.
  void Append(const v1::Entry& entry);
  /// @brief Whether the other routers append keep-alives every three seconds.
  void SetKeepAlives(bool on) { m_keep_alives = on; }

  const router::RouterCore& core() const { return *m_core; }
  const FleetSizes& sizes() const { return m_sizes; }
  const Traffic& traffic() const { return m_traffic; }
  void ResetTraffic() { m_traffic = {}; }
  /// @brief Consumes the next sequence number of another router.
  uint64_t NextSequence(size_t router) { return ++m_sequences[router]; }
  uint64_t log_end() const { return m_log_base + m_log.size(); }

 private:
  void Step();
  void Handle(const router::Event& event);
  void AnswerRead();
  void AnswerAppend();
  void AppendKeepAlives();
  void SendHeartbeats();
  void StartRequests();
  router::RequestArrived MakeRequest();
  void EndRequests();

  void ExecuteAction(const router::Dispatch& action);
  void ExecuteAction(const router::Refuse& action);
  void ExecuteAction(const router::ReadLog& action);
  void ExecuteAction(const router::AppendLog& action);
  void ExecuteAction(const router::SendPeer& action);
  void ExecuteAction(const router::LogLine& action);
  template <typename Other>
  void ExecuteAction(const Other& /*action*/) {}

  struct PendingRead {
    uint64_t from = 0;
    core::TimePoint until;
  };
  struct Attempt {
    core::RequestId request;
    core::AttemptId attempt;
  };

  FleetSizes m_sizes;
  std::unique_ptr<router::RouterCore> m_core;
  core::TimePoint m_now{};
  uint64_t m_steps = 0;
  uint64_t m_random = 1;

  /// Entries that the core has read are dropped, so that they don't count as
  /// its memory.
  std::deque<std::string> m_log;
  uint64_t m_log_base = 0;
  std::optional<PendingRead> m_read;
  std::optional<std::string> m_append;
  bool m_keep_alives = true;
  std::vector<uint64_t> m_sequences;
  size_t m_next_keep_alive = 1;

  std::deque<v1::PeerMessage> m_replies;
  std::unordered_set<std::string> m_contacts;

  RequestLoad m_load;
  double m_request_credit = 0;
  uint64_t m_last_request = 0;
  std::multimap<core::TimePoint, Attempt> m_first_tokens;
  std::multimap<core::TimePoint, Attempt> m_attempts;

  Traffic m_traffic;
};

}  // namespace coppervalve::bench

#endif  // BENCH_CAPACITY_CORE_DRIVER_H_
