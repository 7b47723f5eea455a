#include "coppervalve/entry/relay_refusals.h"

namespace coppervalve::entry {

namespace {

constexpr uint32_t kRequired = 3;

}  // namespace

void RelayRefusals::OnRefused(const std::string& relay,
                              const core::UpstreamId& upstream) {
  m_relays.push_back(relay);
  ++m_count[upstream];
}

bool RelayRefusals::IsConfirmed(const core::UpstreamId& upstream) const {
  const auto found = m_count.find(upstream);
  return found != m_count.end() && found->second >= kRequired;
}

}  // namespace coppervalve::entry
