#ifndef COPPERVALVE_ROUTING_UPSTREAM_TABLE_H_
#define COPPERVALVE_ROUTING_UPSTREAM_TABLE_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint32_t, uint64_t
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <set>            // set
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/concurrency_limit.h"
#include "coppervalve/routing/health.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/upstream.h"

namespace coppervalve::routing {

/// @brief Options of the table.
struct UpstreamTableOptions {
  ConcurrencyLimitOptions limit;
  HealthOptions health;
  /// Shares of the adaptive limit that INTERACTIVE and BATCH requests may use.
  /// GATE requests may exceed the adaptive limit up to the hard cap.
  double interactive_share = 1.0;
  double batch_share = 0.9;
  /// Time constant of the moving average over load reports.
  core::Duration report_smoothing{10'000'000};
  /// Weight of the reported load of other routers. Own attempts have weight 1,
  /// because their number is exact.
  double report_weight = 0.5;
  /// Load reports older than this are ignored.
  core::Duration report_max_age{10'000'000};
  /// Pause after a decline that states no retry time.
  core::Duration default_hold_off{200'000};
  core::Duration max_hold_off{5'000'000};
  /// Maximum probes returned per call, so that the probes of a fleet of
  /// thousands of ejected upstreams are spread over time.
  size_t max_probes_per_call = 32;
};

/// @brief Target of a request: a model or a plain service.
struct WorkTarget {
  core::ModelId model;      ///< empty for a plain service
  core::ServiceId service;  ///< empty for a model
};

/// @brief Index of an upstream in the table; stable while the upstream is
/// known.
using UpstreamSlot = core::NumberId<struct UpstreamSlotTag>;

/// @brief Upstreams that may serve a request, ordered by the hash of their id.
/// The order keeps a bounded window of the set stable when upstreams are added
/// or removed.
using CandidateSet = std::vector<UpstreamSlot>;

/// @brief State of one candidate that a placement is based on.
struct Candidate {
  UpstreamSlot slot;
  uint64_t id_hash = 0;
  Usability usability = Usability::kUsable;
  HealthState health = HealthState::kHealthy;
  bool same_domain = false;
  bool excluded = false;  ///< already tried by this request
  uint32_t own = 0;       ///< this router's attempts in progress
  uint32_t others = 0;    ///< estimated requests of the other routers
  uint32_t queued = 0;    ///< as last reported; 0 when unknown or too old
  uint32_t limit = 0;     ///< this router's limit for the class
  uint32_t hard_cap = 0;
  double weight = 1;  ///< slow start

  /// @brief Estimated requests at the upstream per unit of weight.
  double Load() const { return (own + others) / weight; }
  /// @brief Load as a share of the upstream's hard cap; lower is better.
  double Utilization() const { return Load() / hard_cap; }
};

/// @brief A probe that the caller of TakeProbesDue should make.
struct ProbeDue {
  core::UpstreamId upstream;
  std::string address;
};

/// @brief State of all upstreams as known to this router: configuration, own
/// attempts, reported load, adaptive limits and health.
///
/// Events for unknown ids are ignored, because an attempt may end after its
/// upstream was removed from the configuration.
class UpstreamTable {
 public:
  UpstreamTable(UpstreamTableOptions options, RandomSource random);
  ~UpstreamTable();
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;

  /// @brief Sets the upstreams of a configuration. Upstreams that stay keep
  /// their state, unless their address changed. Upstreams that were removed get
  /// no new requests and are deleted when their last attempt ends.
  /// @complexity O(n log n)
  void SetUpstreams(const std::vector<UpstreamInfo>& upstreams);
  /// @brief Sets whether the VM list shows the upstream as leaving.
  void SetLeaving(const core::UpstreamId& id, bool leaving);

  // Events of attempts. Each OnDispatch is followed by exactly one of OnDone,
  // OnDeclined, OnFailed, OnNotSent or OnCancelled. All are O(1).
  void OnDispatch(const core::UpstreamId& id);
  void OnFirstToken(const core::UpstreamId& id,
                    core::Duration latency,
                    core::TimePoint now);
  void OnDone(const core::UpstreamId& id,
              core::Duration latency,
              const std::optional<LoadReport>& load,
              core::TimePoint now);
  void OnDeclined(const core::UpstreamId& id,
                  const std::optional<core::Duration>& retry_after,
                  const std::optional<LoadReport>& load,
                  core::TimePoint now);
  void OnFailed(const core::UpstreamId& id,
                FailureKind kind,
                core::TimePoint now);
  void OnNotSent(const core::UpstreamId& id, core::TimePoint now);
  /// @brief The caller disconnected; does not affect the health of the
  /// upstream.
  void OnCancelled(const core::UpstreamId& id);
  void OnLoad(const core::UpstreamId& id,
              const LoadReport& load,
              core::TimePoint now);

  /// @brief Returns the probes to make now. A probe is not returned again until
  /// it ends or its timeout passes. Probes above the maximum per call are
  /// returned by the next call.
  /// @complexity O(ejected) once in 10 ms, else O(1)
  std::vector<ProbeDue> TakeProbesDue(core::TimePoint now);
  void OnProbe(const core::UpstreamId& id,
               bool healthy,
               const std::optional<LoadReport>& load,
               core::TimePoint now);

  /// @brief Returns the upstreams that serve the target, restricted to
  /// `allowed` unless it is empty. The result is cached per rule until the next
  /// SetUpstreams, so `allowed` must be the list of that rule.
  /// @complexity O(1) when cached, else O(allowed)
  const CandidateSet& CandidatesFor(
      const WorkTarget& target,
      const core::RuleId& rule,
      const std::vector<core::UpstreamId>& allowed);

  /// @brief Returns the state of one candidate. @complexity O(1)
  Candidate Inspect(UpstreamSlot slot,
                    v1::AdmissionClass admission_class,
                    const core::FailureDomainId& own_domain,
                    core::TimePoint now) const;
  uint64_t IdHash(UpstreamSlot slot) const;
  const UpstreamInfo& InfoOf(UpstreamSlot slot) const;
  /// @return nullptr when the id is not known
  const UpstreamInfo* Find(const core::UpstreamId& id) const;
  std::optional<UpstreamSlot> SlotOf(const core::UpstreamId& id) const;
  /// @brief Own attempts in progress at the upstream; 0 when the id is not
  /// known.
  uint32_t InProgress(const core::UpstreamId& id) const;
  /// @brief Slots of all known upstreams, for metrics and status.
  std::vector<UpstreamSlot> Slots() const;

 private:
  struct Entry;

  Entry* FindEntry(const core::UpstreamId& id);
  const Entry* FindEntry(const core::UpstreamId& id) const;
  void AddOrUpdate(const UpstreamInfo& info);
  size_t AllocateSlot();
  void RebuildCandidateSets();
  static void EndAttempt(Entry& entry);
  void UpdateEjectedSlots(const Entry& entry, core::TimePoint now);
  void RemoveIfIdle(const core::UpstreamId& id);
  void SortByHash(CandidateSet& set) const;
  static bool Serves(const UpstreamInfo& info, const WorkTarget& target);
  uint32_t LimitFor(const Entry& entry,
                    v1::AdmissionClass admission_class,
                    core::TimePoint now) const;
  static Usability UsabilityOf(const Entry& entry,
                               uint32_t limit,
                               core::TimePoint now);

  UpstreamTableOptions m_options;
  RandomSource m_random;
  std::vector<std::unique_ptr<Entry>> m_entries;  ///< by slot; null when free
  std::vector<size_t> m_free_slots;
  std::set<size_t> m_ejected;    ///< slots of ejected upstreams
  size_t m_next_probe_slot = 0;  ///< slot at which the next call continues
  core::TimePoint m_last_probe_scan{};
  std::unordered_map<core::UpstreamId, size_t> m_slots;
  std::unordered_map<core::ModelId, CandidateSet> m_by_model;
  std::unordered_map<core::ServiceId, CandidateSet> m_by_service;
  std::unordered_map<std::string, CandidateSet> m_by_rule;
  CandidateSet m_empty_set;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_UPSTREAM_TABLE_H_
