#include "coppervalve/entry/limit_words.h"

#include <algorithm>  // sort
#include <chrono>     // duration_cast, milliseconds
#include <cmath>      // isfinite
#include <optional>   // optional
#include <vector>     // vector

namespace coppervalve::entry {

namespace {

using std::chrono::milliseconds;

// A limit is reported for as long as routers consider it recent.
constexpr core::Duration kTellFor = LimitOptions{}.word_lasts;
// Keeps a report within one packet.
constexpr size_t kMostTold = 50;

}  // namespace

void TellLimits(const UpstreamDirectory& directory,
                core::TimePoint now,
                v1::LoadReport& report) {
  if (!directory.limits_named()) {
    return;
  }
  std::vector<UpstreamRef> told;
  for (const auto& [id, upstream] : directory.all()) {
    const auto at = upstream->limit.told();
    if (at && now - *at < kTellFor) {
      told.push_back(upstream);
    }
  }
  if (told.size() > kMostTold) {
    // Keep the newest; older ones were in earlier reports.
    std::sort(told.begin(), told.end(),
              [](const UpstreamRef& a, const UpstreamRef& b) {
                return *a->limit.told() > *b->limit.told();
              });
    told.resize(kMostTold);
  }
  for (const UpstreamRef& upstream : told) {
    v1::UpstreamLimit* limit = report.add_limits();
    limit->set_upstream(upstream->load_key);
    if (const auto per_second = upstream->limit.per_second()) {
      limit->set_per_second(*per_second);
    }
    const core::Duration age = now - *upstream->limit.told();
    limit->set_age_ms(static_cast<uint32_t>(
        std::chrono::duration_cast<milliseconds>(age).count()));
  }
}

void HearLimits(const v1::LoadReport& report,
                core::TimePoint now,
                UpstreamDirectory& directory) {
  for (const v1::UpstreamLimit& limit : report.limits()) {
    const UpstreamRef upstream = directory.FindByLoadKey(limit.upstream());
    if (!upstream) {
      continue;
    }
    std::optional<double> per_second;
    if (limit.has_per_second()) {
      per_second = limit.per_second();
    }
    const double rate = per_second.value_or(0);
    if (!std::isfinite(rate) || rate < 0) {
      continue;
    }
    upstream->limit.OnPeerWord(per_second, now - milliseconds(limit.age_ms()));
  }
}

}  // namespace coppervalve::entry
