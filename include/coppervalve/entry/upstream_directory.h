#ifndef COPPERVALVE_ENTRY_UPSTREAM_DIRECTORY_H_
#define COPPERVALVE_ENTRY_UPSTREAM_DIRECTORY_H_

#include <cstdint>        // uint8_t, uint32_t, int64_t
#include <functional>     // function
#include <map>            // map
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <unordered_set>  // unordered_set
#include <utility>        // move
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/advertised_limit.h"
#include "coppervalve/entry/service_index.h"
#include "coppervalve/entry/store_contact.h"
#include "coppervalve/entry/upstream.h"

namespace coppervalve::entry {

/// @brief How a router treats a record of the table.
enum class RecordKind : uint8_t {
  kUsable,   ///< of an upstream that accepts work
  kLeaving,  ///< of an upstream that accepts no new work
  kNone,     ///< no upstream: unreadable, or of an unknown form
};

/// @brief A record of the table: its key, and its entry if it contains one.
struct UpstreamRecord {
  core::UpstreamId id;
  std::optional<UpstreamEntry> entry;
  core::TimePoint read_at{};
};

RecordKind KindOf(const UpstreamRecord& record);

/// @brief The change that a record caused.
enum class DirectoryChange : uint8_t {
  kNothing,   ///< already known, or of an earlier start
  kChanged,   ///< the upstream is new or its entry changed
  kNewStart,  ///< it restarted under its id without earlier state
  kDropped,   ///< it was known; the record no longer names an upstream
};

/// @brief Constants of the directory.
struct DirectoryOptions {
  /// Entries that expired while the store was unavailable return within this
  /// time after it is back. Those missing then, or removed later, are gone.
  core::Duration return_time{2'000'000};
};

/// @brief The upstreams that may get new requests.
class UpstreamDirectory {
 public:
  using OnGone = std::function<void(const UpstreamEntry&)>;

  /// @param on_gone called for each start that has ended according to the
  /// store; may be empty
  explicit UpstreamDirectory(DirectoryOptions options, OnGone on_gone = {})
      : m_options(options), m_on_gone(std::move(on_gone)) {}

  /// @brief Applies a record, whether it came alone or in a list. The state of
  /// a start is dropped when the start ends; requests in progress keep the
  /// object of the start they were sent to.
  DirectoryChange OnRecord(const UpstreamRecord& record);
  /// @brief An entry was removed. @return whether the upstream is gone for good
  bool Remove(const core::UpstreamId& id,
              const StoreContact& contact,
              core::TimePoint now);
  /// @brief The complete list was read: entries that it lacks were removed.
  /// @return ids whose connections are of no use any more
  std::vector<core::UpstreamId> ReplaceAll(
      const std::vector<UpstreamRecord>& records,
      const StoreContact& contact,
      core::TimePoint now);
  /// @brief Drops entries that expired and did not return. To be called
  /// periodically.
  /// @return the ids that are gone
  std::vector<core::UpstreamId> DropExpired(const StoreContact& contact,
                                            core::TimePoint now);

  /// @brief The evacuation of a failure domain ended: its upstreams may all be
  /// cold.
  void OnEvacuationEnded(const core::FailureDomainId& domain,
                         core::TimePoint now);

  /// @brief An upstream announced in a response that it is leaving. Applies to
  /// this start, whatever its record states later.
  /// @return whether that is new
  bool OnLeavingAnnounced(const UpstreamRef& upstream);
  /// @brief An upstream sent a limit in a response, or none. Applies to this
  /// start, also while its entry is gone.
  /// @return whether the known limit changed
  bool OnLimitReceived(const UpstreamRef& upstream,
                       std::optional<double> per_second,
                       core::TimePoint sent_at,
                       core::TimePoint now);
  /// @return whether any upstream has sent a limit to this router so far
  bool limits_received() const { return m_limits_received; }
  /// @brief A response came from another upstream than the request was sent to.
  /// @return the upstream with the same address; null unless there is exactly
  /// one
  UpstreamRef OtherAtAddress(const Upstream& asked) const;
  /// @return when the first of a service's upstreams accepts work again; none
  /// if one accepts it now, or if there is no upstream
  std::optional<core::TimePoint> AllPausedUntil(const core::ServiceId& service,
                                                core::TimePoint now) const;

  /// @return the upstreams of a service that are not leaving; the reference is
  /// valid until the next change
  const std::vector<UpstreamRef>& Of(const core::ServiceId& service) const {
    return m_by_service.Of(service);
  }
  UpstreamRef Find(const core::UpstreamId& id) const;
  /// @return the upstream with this id in load reports; null if there is none
  UpstreamRef FindByLoadKey(uint32_t key) const;
  const std::unordered_map<core::UpstreamId, UpstreamRef>& all() const {
    return m_by_id;
  }
  /// @brief The number of upstreams of each software version, by service. Those
  /// that are leaving count.
  using VersionCounts =
      std::unordered_map<core::ServiceId,
                         std::map<core::UpstreamVersion, size_t>>;
  const VersionCounts& versions() const { return m_versions; }
  /// @brief A request is sent to an upstream.
  void MarkBusy(const UpstreamRef& upstream);
  /// @return the listed upstreams with requests of this router in progress
  /// @complexity linear in these, not in all upstreams
  const std::unordered_set<UpstreamRef>& Busy();
  size_t size() const { return m_by_id.size(); }
  /// @return number of upstreams with a known limit
  /// @complexity linear
  size_t Limited() const;

 private:
  bool ReturnTimeIsOver(const StoreContact& contact, core::TimePoint now) const;
  bool IsOfEarlierStart(const UpstreamEntry& entry) const;
  void RememberStart(const UpstreamEntry& entry);
  void RememberLeaving(const UpstreamEntry& entry);
  void RememberLimit(const Upstream& upstream);
  void RestoreLimit(const UpstreamEntry& entry, Upstream& upstream);
  bool HasAnnouncedLeaving(const UpstreamEntry& entry);
  DirectoryChange Put(const UpstreamEntry& entry, core::TimePoint read_at);
  DirectoryChange Drop(const core::UpstreamId& id);
  void Forget(const core::UpstreamId& id);
  void RemoveVersion(const UpstreamEntry& entry);
  void NotifyGone(const UpstreamEntry& entry) const;

  DirectoryOptions m_options;
  OnGone m_on_gone;
  bool m_list_read = false;  ///< upstreams that appear later have just started
  std::unordered_map<core::UpstreamId, UpstreamRef> m_by_id;
  ServiceIndex m_by_service;  ///< those that are not leaving
  VersionCounts m_versions;
  std::unordered_set<UpstreamRef> m_busy;
  std::unordered_map<uint32_t, UpstreamRef> m_by_load_key;
  bool m_limits_received = false;
  /// Latest start seen under each id, including removed ones.
  std::unordered_map<core::UpstreamId, int64_t> m_latest_starts;
  /// Starts that announced in a response that they are leaving, including
  /// removed ones.
  std::unordered_map<core::UpstreamId, std::optional<int64_t>>
      m_announced_leaving;
  /// Limits of starts whose entries were removed: they may be announced again.
  struct KeptLimit {
    std::optional<int64_t> start_number;
    AdvertisedLimit limit;
  };
  std::unordered_map<core::UpstreamId, KeptLimit> m_kept_limits;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_UPSTREAM_DIRECTORY_H_
