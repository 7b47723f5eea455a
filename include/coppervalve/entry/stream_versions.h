#ifndef COPPERVALVE_ENTRY_STREAM_VERSIONS_H_
#define COPPERVALVE_ENTRY_STREAM_VERSIONS_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint8_t
#include <deque>          // deque
#include <optional>       // optional
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <utility>        // pair
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/entry/heartbeat_rate.h"
#include "coppervalve/entry/version_history.h"

namespace coppervalve::entry {

/// @brief Identifies a stream over all attempts of its caller.
using StreamKey = core::NumberId<struct StreamKeyTag>;

/// @param request_id id of the request that brought the first event
StreamKey StreamKeyOf(const core::AccountId& account,
                      const std::string& request_id);

/// @brief A stream, the service that it belongs to and the software version of
/// the upstream that sent its first event.
struct StreamStart {
  StreamKey stream;
  core::ServiceId service;
  core::UpstreamVersion version;
};

/// @brief The versions that a service had for as long as a stream may last.
enum class VersionsSeen : uint8_t {
  kUnknown,
  kOne,
  kSeveral,
};

/// @brief Streams of one service that started at the same version, as routers
/// record them in the store.
struct StreamGroup {
  core::ServiceId service;
  core::UpstreamVersion version;
  VersionsSeen seen = VersionsSeen::kUnknown;  ///< by the router that records
  std::vector<StreamKey> streams;
};

/// @brief Constants of the records of streams.
struct StreamVersionsOptions {
  /// Longest time from the start of a stream until its caller resumes it for
  /// the last time. The store retains records for as long.
  core::Duration lifetime{20'000'000};
  size_t max_streams = 100'000;
  /// Maximum number of streams, and of bytes, in one record.
  size_t max_batch = 5'000;
  size_t max_record_bytes = 131'072;
};

/// @return minimum time between two records of a router
core::Duration StreamRecordInterval(const HeartbeatLimits& limits);

/// @brief What is known of the records of other routers.
enum class RecordsRead : uint8_t {
  kToTheEnd,         ///< all that were written before the caller's request
  kTableBehind,      ///< the same, but the table of upstreams may have changed
  kUnavailable,      ///< no router reads the store now
  kUnavailableHere,  ///< other routers may have read more than this one
};

/// @brief The version at which a stream may be resumed, or why it is unknown.
struct ResumeVersion {
  std::optional<core::UpstreamVersion> version;
  std::string_view why;  ///< set if the version is unknown
};

/// @brief Knows at which software version of the upstreams streams started.
///
/// A stream may be resumed only at the version that started it, often at
/// another router after the first one has crashed. So routers record the
/// starts of streams in the store while a service has several versions. While
/// it has only one, no record is needed.
class StreamVersions {
 public:
  explicit StreamVersions(StreamVersionsOptions options = {});

  /// @brief The versions of a service that the table of upstreams lists now.
  void OnVersions(const core::ServiceId& service,
                  const std::vector<core::UpstreamVersion>& versions,
                  core::TimePoint now);
  /// @brief The table is not followed from now on.
  void OnTableLost();
  /// @brief The first event of a stream is sent to its caller, or the first one
  /// after it was resumed.
  void OnStart(const StreamStart& start, core::TimePoint now);
  /// @brief A router listed a version when it wrote a heartbeat.
  void OnStated(const core::ServiceId& service,
                const core::UpstreamVersion& version,
                core::TimePoint now);
  /// @brief What a router listed lacks services.
  void OnIncompleteStatement(core::TimePoint now) {
    m_incomplete_statement_at = now;
  }
  /// @brief A record was read. Records are applied in the order of the log.
  void OnRecord(const StreamGroup& group, core::TimePoint now);

  bool HasUnwritten() const { return !m_unwritten.empty(); }
  /// @return the next starts to record; they are not returned again
  std::vector<StreamGroup> TakeUnwritten(core::TimePoint now);

  /// @return whether the version at which a stream started is known without
  /// the records of other routers
  bool Knows(StreamKey stream) const { return m_known.contains(stream); }
  ResumeVersion Resolve(StreamKey stream,
                        const core::ServiceId& service,
                        RecordsRead read,
                        core::TimePoint now) const;
  /// @return the only version that a service had as long as a stream may last;
  /// none if it had several, or if that is not known
  std::optional<core::UpstreamVersion> SoleVersion(
      const core::ServiceId& service,
      core::TimePoint now) const;
  /// @brief Forgets streams that have ended. To be called periodically.
  void Advance(core::TimePoint now);
  size_t size() const { return m_known.size(); }

 private:
  struct Known {
    core::ServiceId service;
    core::UpstreamVersion version;
    core::TimePoint at;
    bool started_here = false;
    bool ambiguous = false;  ///< started at several versions
  };
  void OnListed(const core::ServiceId& service,
                const std::vector<core::UpstreamVersion>& versions,
                core::TimePoint now);
  bool IsRecording(const core::ServiceId& service, core::TimePoint now) const;
  VersionsSeen SeenOf(const core::ServiceId& service,
                      core::TimePoint now) const;
  void RecordStartedHere(const core::ServiceId& service);
  void Insert(const StreamStart& start, bool here, core::TimePoint now);
  std::optional<core::UpstreamVersion> OnlyRecentVersion(
      const core::ServiceId& service,
      core::TimePoint now) const;
  bool MayHaveHadOther(const core::ServiceId& service,
                       const core::UpstreamVersion& version,
                       core::TimePoint now) const;

  StreamVersionsOptions m_options;
  VersionHistory m_history;
  VersionHistory m_stated;
  std::optional<core::TimePoint> m_incomplete_statement_at;
  std::unordered_map<StreamKey, Known> m_known;
  std::deque<std::pair<core::TimePoint, StreamKey>> m_by_age;
  std::deque<std::pair<core::TimePoint, StreamStart>> m_unwritten;
  bool m_follows_table = false;
  /// By service: the latest statement of another router that knew.
  std::unordered_map<core::ServiceId, VersionsSeen> m_seen_by_others;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_STREAM_VERSIONS_H_
