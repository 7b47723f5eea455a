#ifndef COPPERVALVE_ENTRY_READING_PACE_H_
#define COPPERVALVE_ENTRY_READING_PACE_H_

#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How long the engines of a service take to read prompts, learned from
/// their answers: what grows with the tokens that must be read first, and not
/// what is the same for all.
class ReadingPace {
 public:
  /// @param to_read tokens read before the first piece: those that were waiting
  /// already and the request's own
  /// @complexity constant, as all of this class
  void OnFirstPiece(const core::ServiceId& service,
                    double to_read,
                    core::Duration time);

  /// @return time until so many tokens are read; 0 while nothing is known
  core::Duration ToRead(const core::ServiceId& service, double tokens) const;

 private:
  /// A line through the answers of late: older ones count less and less.
  struct Line {
    double weight = 0;
    double tokens = 0;
    double micros = 0;
    double tokens_squared = 0;
    double tokens_micros = 0;
    double Slope() const;
  };
  const Line* Find(const core::ServiceId& service) const;

  std::unordered_map<core::ServiceId, Line> m_lines;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_READING_PACE_H_
