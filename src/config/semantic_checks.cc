#include "semantic_checks.h"

#include <utility>  // move

#include "values.h"

namespace coppervalve::config {

using core::ErrorId;

DefinedNames::DefinedNames(const v1::Configuration& configuration) {
  for (const v1::Account& account : configuration.accounts()) {
    accounts.insert(account.id());
  }
  for (const v1::Budget& budget : configuration.budgets()) {
    budgets.insert(budget.id());
  }
  for (const v1::Upstream& upstream : configuration.upstreams()) {
    upstreams.emplace(upstream.id(), &upstream);
    models.insert(upstream.models().begin(), upstream.models().end());
    services.insert(upstream.service());
  }
}

void Report::Add(ErrorId id, std::string path, std::string detail) {
  m_findings.push_back({id, std::move(path), std::move(detail)});
}

void Report::CheckUniqueId(const std::string& id,
                           const std::string& path,
                           std::unordered_map<std::string, std::string>& seen) {
  if (!CheckPresent(id, path)) {
    return;
  }
  if (!IsId(id)) {
    Add(ErrorId::kConfigBadValue, path,
        "'" + id + "' is not an id: 1 to 64 of A-Z a-z 0-9 . _ -");
    return;
  }
  CheckUnique(id, path, seen);
}

void Report::CheckUnique(const std::string& text,
                         const std::string& path,
                         std::unordered_map<std::string, std::string>& seen) {
  const auto [first, is_new] = seen.emplace(text, path);
  if (!is_new) {
    Add(ErrorId::kConfigDuplicateId, path,
        "'" + text + "' is already at " + first->second);
  }
}

void Report::CheckRange(int64_t value,
                        int64_t low,
                        int64_t high,
                        const std::string& path) {
  if (value < low || value > high) {
    Add(ErrorId::kConfigBadValue, path,
        std::to_string(value) + " is not within " + std::to_string(low) +
            " to " + std::to_string(high));
  }
}

bool Report::CheckPresent(std::string_view text, const std::string& path) {
  if (!text.empty()) {
    return true;
  }
  Add(ErrorId::kConfigMissingField, path, "must be given");
  return false;
}

std::string ItemPath(std::string_view list, size_t position) {
  return std::string(list) + "[" + std::to_string(position) + "]";
}

}  // namespace coppervalve::config
