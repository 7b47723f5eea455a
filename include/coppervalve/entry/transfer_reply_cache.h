#ifndef COPPERVALVE_ENTRY_TRANSFER_REPLY_CACHE_H_
#define COPPERVALVE_ENTRY_TRANSFER_REPLY_CACHE_H_

#include <cstdint>   // uint64_t
#include <deque>     // deque
#include <map>       // map
#include <optional>  // optional
#include <tuple>     // tuple

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/load.pb.h"

namespace coppervalve::entry {

/// @brief Recent replies to token requests of other routers. A repeated request
/// gets the same reply and takes tokens only once.
class TransferReplyCache {
 public:
  std::optional<core::Tokens> Find(const v1::TokenAsk& request) const;
  void Insert(const v1::TokenAsk& request,
              core::Tokens given,
              core::TimePoint now);

 private:
  using Key = std::tuple<core::RouterId, uint64_t, uint64_t>;
  static Key KeyOf(const v1::TokenAsk& request);

  std::map<Key, core::Tokens> m_replies;
  std::deque<std::pair<core::TimePoint, Key>> m_order;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_TRANSFER_REPLY_CACHE_H_
