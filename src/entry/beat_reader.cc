#include "coppervalve/entry/beat_reader.h"

#include <cstdint>  // int64_t

namespace coppervalve::entry {

namespace {

// Sums over all routers of a large fleet stay far below the 64-bit limit.
constexpr int64_t kMostTokens = int64_t{1} << 50;
// Routers report fewer events than this.
constexpr double kMostEvents = 1'000;

bool Within(int64_t value, int64_t most) {
  return value >= 0 && value <= most;
}

bool Plausible(const v1::AccountClaim& claim) {
  return Within(claim.ceiling(), kMostTokens) &&
         Within(claim.spent(), claim.ceiling()) &&
         Within(claim.reserve(), claim.ceiling()) &&
         Within(claim.committed(), claim.ceiling()) &&
         Within(claim.retired(), kMostTokens) &&
         Within(claim.retired_spent(), claim.retired());
}

// Also false for NaN.
bool PlausibleCount(double events) {
  return events >= 0 && events <= kMostEvents;
}

core::Error Invalid(const char* what) {
  return {core::ErrorId::kLogRecordInvalid, "beat", what};
}

}  // namespace

core::Result<v1::RouterBeat> ReadBeat(const std::string& bytes) {
  v1::RouterBeat beat;
  if (!beat.ParseFromString(bytes)) {
    return Invalid("not a valid protobuf message");
  }
  if (!PlausibleCount(beat.losses()) || !PlausibleCount(beat.outages())) {
    return Invalid("losses or outages are out of range");
  }
  for (const v1::AccountClaim& claim : beat.claims()) {
    if (!Plausible(claim)) {
      return Invalid("a claim is inconsistent or out of range");
    }
  }
  return beat;
}

}  // namespace coppervalve::entry
