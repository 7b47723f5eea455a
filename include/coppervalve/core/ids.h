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
using RouterId = TextId<struct RouterTag>;
using ModelId = TextId<struct ModelTag>;
using ServiceId = TextId<struct ServiceTag>;
using FailureDomainId = TextId<struct FailureDomainTag>;
using RuleId = TextId<struct RuleTag>;

/// @brief Random per start of a process; tells restarts of one router apart.
using Incarnation = NumberId<struct IncarnationTag>;
/// @brief Position in the platform's log.
using LogOffset = NumberId<struct LogOffsetTag>;
/// @brief 1, 2, 3... per accepted configuration; 0 is "none yet".
using ConfigVersion = NumberId<struct ConfigVersionTag>;
/// @brief One request as one router process knows it; unique per incarnation.
using RequestId = NumberId<struct RequestTag>;
/// @brief One attempt of a request at one upstream; unique per incarnation.
using AttemptId = NumberId<struct AttemptTag>;
/// @brief Grows with every order; the log offset of the order's record.
using FencingNumber = NumberId<struct FencingTag>;
/// @brief Position of an entry among those of its writer's incarnation.
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
