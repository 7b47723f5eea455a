#ifndef COPPERVALVE_APPS_COPPERVALVE_LOG_VIEW_H_
#define COPPERVALVE_APPS_COPPERVALVE_LOG_VIEW_H_

#include <chrono>      // milliseconds
#include <cstdint>     // uint8_t
#include <functional>  // function
#include <vector>      // vector

#include "apps/coppervalve/log_client.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/ledger/fold.h"

namespace coppervalve::cli {

/// @brief The state folded from the part of the log that was read so far.
class LogView {
 public:
  /// @brief Called for each folded entry with its effects.
  using Observer = std::function<void(core::LogOffset,
                                      const v1::Entry&,
                                      const std::vector<ledger::Effect>&)>;

  /// @brief Which snapshot to start from when the first entries have expired.
  enum class Start : uint8_t {
    kNewest,  ///< reads the fewest entries
    kOldest,  ///< covers the most entries
  };

  explicit LogView(LogClient client) : m_client(std::move(client)) {}

  /// @brief Reads the whole retained log.
  /// @error kLogUnavailable, kLogGap (no usable snapshot), and the fold's own
  core::Status Open(Start start, const Observer& observer = {});

  /// @brief Reads new entries up to the end of the log.
  /// @param wait how long the log may delay the first read when there is
  /// nothing
  core::Status CatchUp(std::chrono::milliseconds wait,
                       const Observer& observer = {});

  const ledger::Fold& fold() const { return m_fold; }
  const LogClient& client() const { return m_client; }
  /// @return where the fold started: 0, or the offset of a snapshot
  core::LogOffset started_at() const { return m_started_at; }

 private:
  core::Status LoadSnapshot(core::LogOffset first_retained, Start start);
  core::Status ApplyAll(const v1::ReadReply& reply, const Observer& observer);

  LogClient m_client;
  ledger::Fold m_fold;
  core::LogOffset m_started_at;
};

}  // namespace coppervalve::cli

#endif  // COPPERVALVE_APPS_COPPERVALVE_LOG_VIEW_H_
