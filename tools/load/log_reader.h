#ifndef COPPERVALVE_TOOLS_LOAD_LOG_READER_H_
#define COPPERVALVE_TOOLS_LOAD_LOG_READER_H_

#include <functional>  // function
#include <string>      // string
#include <vector>      // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/result.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/platform.pb.h"

namespace coppervalve::load {

/// @brief Folds the platform's log as far as it was read.
class LogReader {
 public:
  using OnEffects = std::function<void(const std::vector<ledger::Effect>&)>;

  /// @param address "ip:port" of the log service
  /// @param on_effects sees the effects of each entry
  explicit LogReader(std::string address, OnEffects on_effects = {});

  /// @brief Reads on to the end of the log. The first call starts at its begin,
  /// or at the oldest retained snapshot when the begin has expired.
  /// @error kLogUnavailable, kLogGap, kLogRecordInvalid, and the fold's own
  core::Status CatchUp();

  const ledger::Fold& fold() const { return m_fold; }
  /// @return 0 when the log was read from its begin
  core::LogOffset started_at() const { return m_started_at; }

 private:
  core::Result<v1::ReadReply> Read(core::LogOffset from) const;
  core::Status Start();
  core::Status StartAtSnapshot(core::LogOffset first_retained);
  core::Status ApplyAll(const v1::ReadReply& reply);

  std::string m_address;
  OnEffects m_on_effects;
  ledger::Fold m_fold;
  core::LogOffset m_started_at;
  bool m_started = false;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_LOG_READER_H_
