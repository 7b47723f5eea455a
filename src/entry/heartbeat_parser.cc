#include "coppervalve/entry/heartbeat_parser.h"

#include <cstdint>  // int64_t

namespace coppervalve::entry {

namespace {

// Sums over all routers of a large fleet stay far below the 64-bit limit.
constexpr int64_t kMaxTokens = int64_t{1} << 50;
// Routers report fewer events than this.
constexpr double kMaxEvents = 1'000;

bool IsInRange(int64_t value, int64_t max) {
  return value >= 0 && value <= max;
}

bool IsPlausible(const v1::AccountClaim& claim) {
  return IsInRange(claim.ceiling(), kMaxTokens) &&
         IsInRange(claim.spent(), claim.ceiling()) &&
         IsInRange(claim.reserve(), claim.ceiling()) &&
         IsInRange(claim.committed(), claim.ceiling()) &&
         IsInRange(claim.retired(), kMaxTokens) &&
         IsInRange(claim.retired_spent(), claim.retired());
}

// Also false for NaN.
bool IsPlausibleCount(double events) {
  return events >= 0 && events <= kMaxEvents;
}

core::Error Invalid(const char* what) {
  return {core::ErrorId::kLogRecordInvalid, "beat", what};
}

}  // namespace

core::Result<v1::RouterBeat> ParseHeartbeat(const std::string& bytes) {
  v1::RouterBeat beat;
  if (!beat.ParseFromString(bytes)) {
    return Invalid("not a valid protobuf message");
  }
  if (!IsPlausibleCount(beat.losses()) || !IsPlausibleCount(beat.outages())) {
    return Invalid("losses or outages are out of range");
  }
  for (const v1::AccountClaim& claim : beat.claims()) {
    if (!IsPlausible(claim)) {
      return Invalid("a claim is inconsistent or out of range");
    }
  }
  return beat;
}

}  // namespace coppervalve::entry
