#include "coppervalve/logclient/snapshot_policy.h"

#include <algorithm>    // max, min
#include <string>       // string, to_string
#include <string_view>  // string_view
#include <utility>      // move

#include "coppervalve/core/hash.h"

namespace coppervalve::logclient {

namespace {

constexpr uint64_t kPermille = 1000;

}  // namespace

SnapshotPolicy::SnapshotPolicy(core::RouterId self, SnapshotOptions options)
    : m_self(std::move(self)), m_options(options) {}

void SnapshotPolicy::OnSnapshotSeen(core::LogOffset offset) {
  m_last_snapshot = std::max(m_last_snapshot, offset);
  m_due_at.reset();
}

bool SnapshotPolicy::IsDue(core::TimePoint now,
                           const LogRange& range,
                           const std::vector<core::RouterId>& live) {
  const uint64_t last = m_last_snapshot.value();
  if (range.next.value() < last + Spacing(range)) {
    m_due_at.reset();
    return false;
  }
  if (!m_due_at) {
    m_due_at =
        now + m_options.takeover_delay * static_cast<int64_t>(RankOfSelf(live));
  }
  if (now < *m_due_at) {
    return false;
  }
  const auto round = static_cast<int64_t>(std::max<size_t>(live.size(), 1));
  m_due_at = now + m_options.takeover_delay * round;
  return true;
}

core::Status SnapshotPolicy::CheckSize(core::Bytes size) const {
  if (size <= m_options.max_bytes) {
    return core::Ok();
  }
  return core::Error{
      core::ErrorId::kSnapshotInvalid, m_self.value(),
      "larger than the maximum size: " + std::to_string(size.value())};
}

uint64_t SnapshotPolicy::Spacing(const LogRange& range) const {
  const uint64_t retained =
      range.next.value() -
      std::min(range.next.value(), range.first_retained.value());
  const uint64_t share = retained * m_options.spacing_permille / kPermille;
  if (range.first_retained.value() == 0) {
    return std::max(share, m_options.min_spacing);
  }
  // Once entries expire, the retained range is the limit: a fixed minimum
  // distance could exceed it and leave no snapshot in the range.
  return std::max<uint64_t>(share, 1);
}

size_t SnapshotPolicy::RankOfSelf(
    const std::vector<core::RouterId>& live) const {
  // All routers fold the same last snapshot and so compute the same ranking.
  // The key changes with each snapshot, which distributes the work.
  const std::string key = "snapshot:" + std::to_string(m_last_snapshot.value());
  const uint64_t own = core::RendezvousRank(key, m_self.value());
  size_t ahead = 0;
  for (const core::RouterId& router : live) {
    if (router == m_self) {
      continue;
    }
    if (core::RendezvousRank(key, router.value()) > own) {
      ++ahead;
    }
  }
  return ahead;
}

}  // namespace coppervalve::logclient
