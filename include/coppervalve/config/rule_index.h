#ifndef COPPERVALVE_CONFIG_RULE_INDEX_H_
#define COPPERVALVE_CONFIG_RULE_INDEX_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint32_t, uint64_t
#include <string>         // string
#include <string_view>    // string_view
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/config.pb.h"

namespace coppervalve::config {

/// @brief Finds the rules whose account, model and service conditions may hold
/// for a request, in rule order, without visiting the others.
class RuleIndex {
 public:
  /// @brief Iterates over the candidates of one lookup in ascending rule order.
  class Cursor {
   public:
    /// @brief Value of Next() after the last candidate.
    static constexpr size_t kEnd = SIZE_MAX;

    /// @return the position of the next candidate rule, or kEnd
    /// @complexity constant
    size_t Next();

   private:
    friend class RuleIndex;
    static constexpr size_t kBuckets = 4;

    const std::vector<uint32_t>* m_buckets[kBuckets] = {};
    size_t m_next[kBuckets] = {};
  };

  /// @brief Adds a rule after those added before.
  /// @complexity linear in the number of its accounts, models and services
  void Add(const v1::When& when);

  /// @param model,service at most one is not empty
  /// @return a superset of the rules that match; reads no other rule
  Cursor Find(std::string_view account,
              std::string_view model,
              std::string_view service) const;

 private:
  using Bucket = std::vector<uint32_t>;

  uint32_t Intern(std::string_view kind, std::string_view name);
  uint32_t IdOf(std::string_view kind, std::string_view name) const;
  const Bucket* BucketOf(uint32_t account, uint32_t target) const;

  std::unordered_map<std::string, uint32_t> m_ids;
  std::unordered_map<uint64_t, Bucket> m_buckets;
  uint32_t m_size = 0;
};

}  // namespace coppervalve::config

#endif  // COPPERVALVE_CONFIG_RULE_INDEX_H_
