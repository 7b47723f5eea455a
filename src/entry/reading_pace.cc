#include "coppervalve/entry/reading_pace.h"

#include <algorithm>  // max

namespace coppervalve::entry {

namespace {

// Decay per sample: the fit covers about fifty responses, one second at a busy
// router.
constexpr double kFading = 0.98;
// Below this weight there are too few samples for a fit.
constexpr double kLeastWeight = 8;

}  // namespace

// Least squares. If all samples had the same number of tokens, the slope is
// undetermined and all of the time is attributed to the tokens.
double ReadingPace::Line::Slope() const {
  const double spread = weight * tokens_squared - tokens * tokens;
  if (spread <= 1e-9 * tokens_squared * weight) {
    return tokens > 0 ? micros / tokens : 0;
  }
  return std::max((weight * tokens_micros - tokens * micros) / spread, 0.0);
}

void ReadingPace::OnFirstPiece(const core::ServiceId& service,
                               double to_read,
                               core::Duration time) {
  Line& line = m_lines[service];
  const auto micros = static_cast<double>(time.count());
  line.weight = line.weight * kFading + 1;
  line.tokens = line.tokens * kFading + to_read;
  line.micros = line.micros * kFading + micros;
  line.tokens_squared = line.tokens_squared * kFading + to_read * to_read;
  line.tokens_micros = line.tokens_micros * kFading + to_read * micros;
}

const ReadingPace::Line* ReadingPace::Find(
    const core::ServiceId& service) const {
  const auto found = m_lines.find(service);
  return found == m_lines.end() || found->second.weight < kLeastWeight
             ? nullptr
             : &found->second;
}

core::Duration ReadingPace::ToRead(const core::ServiceId& service,
                                   double tokens) const {
  const Line* line = Find(service);
  return line == nullptr ? core::Duration::zero()
                         : core::Duration(static_cast<int64_t>(
                               line->Slope() * std::max(tokens, 0.0)));
}

}  // namespace coppervalve::entry
