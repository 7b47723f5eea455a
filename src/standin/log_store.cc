#include "coppervalve/standin/log_store.h"

#include <utility>  // move

namespace coppervalve::standin {

core::LogOffset LogStore::Append(std::string entry) {
  const core::LogOffset offset = end();
  m_entries.push_back(std::move(entry));
  if (m_retain != 0 && m_entries.size() > m_retain) {
    m_entries.pop_front();
    m_first = core::LogOffset(m_first.value() + 1);
  }
  return offset;
}

v1::ReadReply LogStore::Read(core::LogOffset from, size_t max_bytes) const {
  v1::ReadReply reply;
  reply.set_first_retained(m_first.value());
  reply.set_end(end().value());
  if (from < m_first) {
    return reply;
  }
  size_t bytes = 0;
  for (uint64_t offset = from.value(); offset < end().value(); ++offset) {
    const std::string& entry = m_entries[offset - m_first.value()];
    bytes += entry.size();
    if (bytes > max_bytes && reply.entries_size() > 0) {
      break;
    }
    v1::LoggedEntry* logged = reply.add_entries();
    logged->set_offset(offset);
    logged->set_entry(entry);
  }
  return reply;
}

}  // namespace coppervalve::standin
