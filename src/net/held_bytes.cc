#include "held_bytes.h"

namespace coppervalve::net {

namespace {

constexpr size_t kSmallShare = size_t{64} * 1024;

}  // namespace

bool HeldBytes::Share::Set(size_t bytes) {
  m_all->m_bytes += bytes;
  const size_t all = m_all->m_bytes -= m_bytes;
  m_bytes = bytes;
  return bytes <= kSmallShare || all <= m_all->m_limit ||
         all - bytes <= kSmallShare;
}

}  // namespace coppervalve::net
