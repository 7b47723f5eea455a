#ifndef COPPERVALVE_ROUTING_ADMISSION_QUEUE_H_
#define COPPERVALVE_ROUTING_ADMISSION_QUEUE_H_

#include <array>          // array
#include <cstddef>        // size_t
#include <cstdint>        // uint32_t
#include <functional>     // function
#include <map>            // map
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/drain_rate.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/refusal.h"
#include "coppervalve/routing/upstream_table.h"

namespace coppervalve::routing {

/// @brief Identifies the work for one model or service. Its classes share the
/// capacity of the same upstreams, so priorities and minimum shares apply
/// within a pool.
using PoolId = core::NumberId<struct PoolTag>;
/// @brief Identifies the work of a pool that has one candidate set. Busy
/// upstreams of one lane never delay the entries of another lane.
using LaneId = core::NumberId<struct LaneTag>;

/// @brief Returns the pool of requests for a target.
PoolId PoolOf(const WorkTarget& target);
/// @brief Returns the lane of requests for a target under a rule.
LaneId LaneOf(const WorkTarget& target, const core::RuleId& rule);

/// @brief Options of the queue.
struct AdmissionQueueOptions {
  size_t capacity = 1024;  ///< maximum entries over all lanes and classes
  /// Shares of the capacity that the lower classes may fill.
  double interactive_share = 0.95;
  double batch_share = 0.85;
  /// An account may hold at most this multiple of the places that are free for
  /// its class.
  double account_share = 6.0;
  /// While the class has waiting entries, one in this many starts of the pool
  /// is reserved for it.
  uint32_t interactive_start_interval = 8;
  uint32_t batch_start_interval = 10;
  core::Duration min_retry_after{100'000};
  core::Duration max_retry_after{120'000'000};
  /// Retry-After when the drain rate is not known yet.
  core::Duration default_retry_after{1'000'000};
  /// A waiting entry is refused when its expected wait exceeds the time left
  /// until its deadline by this factor.
  double late_wait_factor = 2.0;
};

/// @brief A request that waits for an upstream.
struct QueueEntry {
  core::RequestId request;
  core::AccountId account;
  PoolId pool;
  LaneId lane;
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  core::TimePoint start_by{};  ///< latest useful start
  double cost = 1;  ///< relative amount of work, for fairness between accounts
};

/// @brief Refusal of one waiting or arriving request.
struct QueueRefusal {
  core::RequestId request;
  Refusal refusal;
};

/// @brief Result of Offer. Each refusal must be sent to its caller.
struct OfferOutcome {
  std::optional<Refusal> refused;         ///< the offered entry was not queued
  std::optional<QueueRefusal> displaced;  ///< the BATCH entry evicted for it
  std::optional<core::Duration> expected_wait;  ///< unset when not measured
};

/// @brief Tries to start an entry. Returns false when no entry of its lane and
/// class can start now. Must not call the queue.
using TryStart = std::function<bool(const QueueEntry& entry)>;

/// @brief Bounded queue of requests that wait for an upstream.
///
/// An entry leaves only by a start, by a typed refusal (kQueueFull,
/// kDeadlineTooShort, kQueueTimeout) or by Remove. GATE has priority;
/// INTERACTIVE and BATCH have a minimum share of the starts. Within a class,
/// accounts are served fairly by cost, and the entries of one account in the
/// order of their deadlines.
class AdmissionQueue {
 public:
  AdmissionQueue(AdmissionQueueOptions options, RandomSource random);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /// @brief Queues an entry or refuses it immediately.
  /// @complexity O(accounts and lanes of its class + log n); O(n) when full
  OfferOutcome Offer(const QueueEntry& entry, core::TimePoint now);
  /// @brief Starts all entries that can start. @return the number of starts
  /// @complexity O(starts * (pools + accounts * lanes))
  size_t Drain(core::TimePoint now, const TryStart& try_start);
  /// @brief Removes the entries whose deadline has passed or is not expected to
  /// be met, and returns their refusals.
  /// @complexity O(n * accounts) once in 10 ms, else O(accounts * lanes)
  std::vector<QueueRefusal> Expire(core::TimePoint now);
  /// @brief Removes the request of a caller that disconnected. @return false
  /// when the request is not queued
  bool Remove(core::RequestId request);
  /// @brief Refuses all entries with `error`; used when the router drains.
  std::vector<QueueRefusal> RefuseAll(const core::Error& error);

  /// @return true when an entry of the class must queue behind others
  bool HasWaiting(PoolId pool, v1::AdmissionClass admission_class) const;
  /// @brief Delay after which a caller refused now should retry: the expected
  /// wait of a new entry plus jitter.
  core::Duration RetryAfter(PoolId pool,
                            const core::AccountId& account,
                            v1::AdmissionClass admission_class,
                            core::TimePoint now) const;
  size_t size() const { return m_entries.size(); }
  size_t SizeOf(v1::AdmissionClass admission_class) const;
  void SetCapacity(size_t capacity) { m_options.capacity = capacity; }

 private:
  struct ClassQueue;
  struct Pool;
  class DrainPass;

  static size_t CountAhead(const ClassQueue& queue,
                           const core::AccountId& account,
                           size_t own_ahead);
  Refusal Refuse(core::ErrorId id,
                 const QueueEntry& entry,
                 core::TimePoint now) const;
  std::optional<core::Duration> EstimateWait(const Pool& pool,
                                             size_t class_index,
                                             size_t ahead,
                                             core::TimePoint now) const;
  std::optional<core::Duration> ExpectedWait(const QueueEntry& entry,
                                             core::TimePoint now) const;
  size_t ClassCapacity(v1::AdmissionClass admission_class) const;
  bool AccountHasRoom(const QueueEntry& entry) const;
  std::optional<QueueRefusal> DisplaceBatch(core::TimePoint now);
  void Insert(const QueueEntry& entry);
  void Erase(const QueueEntry& entry);
  void OnStarted(Pool& pool, const QueueEntry& entry, core::TimePoint now);
  std::vector<QueueEntry> Overdue(const Pool& pool, core::TimePoint now) const;
  std::vector<QueueEntry> PredictedLate(const Pool& pool,
                                        core::TimePoint now) const;
  void PruneIdlePools();
  core::Duration AddJitter(std::optional<core::Duration> wait) const;

  AdmissionQueueOptions m_options;
  RandomSource m_random;
  std::map<PoolId, std::unique_ptr<Pool>> m_pools;
  std::unordered_map<core::RequestId, QueueEntry> m_entries;
  core::TimePoint m_estimated_at{};
  std::array<size_t, 3> m_class_sizes{};
  std::array<std::unordered_map<core::AccountId, size_t>, 3> m_account_sizes;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_ADMISSION_QUEUE_H_
