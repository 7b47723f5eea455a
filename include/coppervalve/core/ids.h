#ifndef COPPERVALVE_CORE_IDS_H_
#define COPPERVALVE_CORE_IDS_H_

#include <compare>     // operator<=>
#include <cstdint>     // uint64_t
#include <functional>  // hash
#include <string>      // string
#include <utility>     // move

namespace coppervalve::core {

/// @brief A textual id that cannot be mixed up with an id of another kind.
/// @tparam Tag an empty struct that names the kind
template <typename Tag>
class TextId {
 public:
  TextId() = default;
  explicit TextId(std::string text) : m_text(std::move(text)) {}

  const std::string& value() const { return m_text; }
  bool empty() const { return m_text.empty(); }
  friend auto operator<=>(const TextId&, const TextId&) = default;

 private:
  std::string m_text;
};

/// @brief A numeric id that cannot be mixed up with an id of another kind.
/// @tparam Tag an empty struct that names the kind
template <typename Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  explicit constexpr NumberId(uint64_t number) : m_number(number) {}

  constexpr uint64_t value() const { return m_number; }
  friend constexpr auto operator<=>(NumberId, NumberId) = default;

 private:
  uint64_t m_number = 0;
};

using AccountId = TextId<struct AccountTag>;
using BudgetId = TextId<struct BudgetTag>;
using UpstreamId = TextId<struct UpstreamTag>;
/// @brief Version of an upstream's software: two are equal or not, without an
/// order.
using UpstreamVersion = TextId<struct UpstreamVersionTag>;
using RouterId = TextId<struct RouterTag>;
using ModelId = TextId<struct ModelTag>;
using ServiceId = TextId<struct ServiceTag>;
using FailureDomainId = TextId<struct FailureDomainTag>;
using RuleId = TextId<struct RuleTag>;

/// @brief Random id chosen at process start; distinguishes restarts of a
/// router.
using Incarnation = NumberId<struct IncarnationTag>;
/// @brief Position in the platform's log.
using LogOffset = NumberId<struct LogOffsetTag>;
/// @brief Counts accepted configurations from 1; 0 means none yet.
using ConfigVersion = NumberId<struct ConfigVersionTag>;
/// @brief A request within one router process; unique per incarnation.
using RequestId = NumberId<struct RequestTag>;
/// @brief One attempt to run a request at an upstream; unique per incarnation.
using AttemptId = NumberId<struct AttemptTag>;
/// @brief Fencing token of an order: the log offset of its record, so it
/// increases with every order.
using FencingNumber = NumberId<struct FencingTag>;
/// @brief Position of an entry among all entries of its writer's incarnation.
using Sequence = NumberId<struct SequenceTag>;

}  // namespace coppervalve::core

template <typename Tag>
struct std::hash<coppervalve::core::TextId<Tag>> {
  size_t operator()(const coppervalve::core::TextId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};

template <typename Tag>
struct std::hash<coppervalve::core::NumberId<Tag>> {
  size_t operator()(coppervalve::core::NumberId<Tag> id) const noexcept {
    return std::hash<uint64_t>{}(id.value());
  }
};

#endif  // COPPERVALVE_CORE_IDS_H_
