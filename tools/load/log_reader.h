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

/// @brief Reads the platform's log and applies its entries to a fold.
class LogReader {
 public:
  using OnEffects = std::function<void(const std::vector<ledger::Effect>&)>;

  /// @param address "ip:port" of the log service
  /// @param on_effects receives the effects of each entry
  explicit LogReader(std::string address, OnEffects on_effects = {});

  /// @brief Reads up to the end of the log. The first call starts at its
  /// beginning, or at the oldest usable snapshot when the beginning has
  /// expired.
  /// @error kLogUnavailable, kLogGap, kLogRecordInvalid, and those of the fold
  core::Status CatchUp();

  const ledger::Fold& fold() const { return m_fold; }
  /// @return 0 when the log was read from its beginning
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
