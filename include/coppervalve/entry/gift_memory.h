#ifndef COPPERVALVE_ENTRY_GIFT_MEMORY_H_
#define COPPERVALVE_ENTRY_GIFT_MEMORY_H_

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
class GiftMemory {
 public:
  std::optional<core::Tokens> Answered(const v1::TokenAsk& ask) const;
  void Remember(const v1::TokenAsk& ask,
                core::Tokens given,
                core::TimePoint now);

 private:
  using Key = std::tuple<core::RouterId, uint64_t, uint64_t>;
  static Key KeyOf(const v1::TokenAsk& ask);

  std::map<Key, core::Tokens> m_answers;
  std::deque<std::pair<core::TimePoint, Key>> m_order;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_GIFT_MEMORY_H_
