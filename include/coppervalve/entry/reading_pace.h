#ifndef COPPERVALVE_ENTRY_READING_PACE_H_
#define COPPERVALVE_ENTRY_READING_PACE_H_

#include <unordered_map>  // unordered_map

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"

namespace coppervalve::entry {

/// @brief How long the engines of a service take to the first piece of an
/// answer, learned from their answers: a fixed part and a part for each token
/// that they must read first.
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
  /// @return time to the first piece; 0 while nothing is known
  core::Duration ToFirstPiece(const core::ServiceId& service,
                              double to_read) const;

 private:
  /// A line through the answers of late: older ones count less and less.
  struct Line {
    double weight = 0;
    double tokens = 0;
    double micros = 0;
    double tokens_squared = 0;
    double tokens_micros = 0;
    double Slope() const;
    double Fixed() const;
  };
  const Line* Find(const core::ServiceId& service) const;

  std::unordered_map<core::ServiceId, Line> m_lines;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_READING_PACE_H_
