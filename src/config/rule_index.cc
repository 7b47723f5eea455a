#include "coppervalve/config/rule_index.h"

#include <set>  // set

namespace coppervalve::config {

namespace {

// Id that stands for "not restricted" in a bucket's key.
constexpr uint32_t kAny = 0;
// A rule that names many accounts and many targets is indexed by account only:
// one entry per pair would make the index much larger than the file.
constexpr size_t kMaxEntriesPerRule = 64;

constexpr std::string_view kAccount = "account:";
constexpr std::string_view kModel = "model:";
constexpr std::string_view kService = "service:";

uint64_t KeyOf(uint32_t account, uint32_t target) {
  constexpr unsigned kShift = 32;
  return (uint64_t{account} << kShift) | target;
}

}  // namespace

size_t RuleIndex::Cursor::Next() {
  size_t best = kEnd;
  size_t best_bucket = kBuckets;
  for (size_t i = 0; i < kBuckets; ++i) {
    if (m_buckets[i] == nullptr || m_next[i] == m_buckets[i]->size()) {
      continue;
    }
    const size_t candidate = (*m_buckets[i])[m_next[i]];
    if (candidate < best) {
      best = candidate;
      best_bucket = i;
    }
  }
  if (best_bucket != kBuckets) {
    ++m_next[best_bucket];
  }
  return best;
}

void RuleIndex::Add(const v1::When& when) {
  // Sets, so that a list with duplicate ids adds the rule once per bucket.
  std::set<uint32_t> accounts;
  for (const std::string& account : when.accounts()) {
    accounts.insert(Intern(kAccount, account));
  }
  std::set<uint32_t> targets;
  for (const std::string& model : when.models()) {
    targets.insert(Intern(kModel, model));
  }
  for (const std::string& service : when.services()) {
    targets.insert(Intern(kService, service));
  }
  if (accounts.empty()) {
    accounts.insert(kAny);
  }
  if (targets.empty() ||
      accounts.size() * targets.size() > kMaxEntriesPerRule) {
    targets = {kAny};
  }
  for (const uint32_t account : accounts) {
    for (const uint32_t target : targets) {
      m_buckets[KeyOf(account, target)].push_back(m_size);
    }
  }
  ++m_size;
}

RuleIndex::Cursor RuleIndex::Find(std::string_view account,
                                  std::string_view model,
                                  std::string_view service) const {
  const uint32_t account_id = IdOf(kAccount, account);
  const uint32_t target_id =
      model.empty() ? IdOf(kService, service) : IdOf(kModel, model);
  // A name that no rule mentions has the id kAny. Its buckets are skipped,
  // since they would be visited twice.
  Cursor cursor;
  cursor.m_buckets[0] = BucketOf(kAny, kAny);
  if (account_id != kAny) {
    cursor.m_buckets[1] = BucketOf(account_id, kAny);
  }
  if (target_id != kAny) {
    cursor.m_buckets[2] = BucketOf(kAny, target_id);
  }
  if (account_id != kAny && target_id != kAny) {
    cursor.m_buckets[3] = BucketOf(account_id, target_id);
  }
  return cursor;
}

uint32_t RuleIndex::Intern(std::string_view kind, std::string_view name) {
  const auto next_id = static_cast<uint32_t>(m_ids.size() + 1);
  return m_ids.emplace(std::string(kind).append(name), next_id).first->second;
}

uint32_t RuleIndex::IdOf(std::string_view kind, std::string_view name) const {
  const auto found = m_ids.find(std::string(kind).append(name));
  return found == m_ids.end() ? kAny : found->second;
}

const RuleIndex::Bucket* RuleIndex::BucketOf(uint32_t account,
                                             uint32_t target) const {
  const auto found = m_buckets.find(KeyOf(account, target));
  return found == m_buckets.end() ? nullptr : &found->second;
}

}  // namespace coppervalve::config
