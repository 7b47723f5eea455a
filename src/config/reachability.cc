#include <algorithm>  // all_of, any_of, includes, sort, unique
#include <vector>     // vector

#include "coppervalve/config/rule_index.h"
#include "semantic_checks.h"

namespace coppervalve::config {

namespace {

using core::ErrorId;
using StringList = google::protobuf::RepeatedPtrField<std::string>;

std::string ToLower(std::string text) {
  for (char& c : text) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return text;
}

void SortUnique(StringList& list) {
  std::sort(list.begin(), list.end());
  list.erase(std::unique(list.begin(), list.end()), list.end());
}

// Returns the conditions with sorted lists. Every request comes from a
// configured account, so a rule that lists them all restricts nothing.
v1::When Normalized(const v1::When& when, int accounts) {
  v1::When normal = when;
  SortUnique(*normal.mutable_accounts());
  SortUnique(*normal.mutable_models());
  SortUnique(*normal.mutable_services());
  SortUnique(*normal.mutable_methods());
  if (normal.accounts_size() == accounts) {
    normal.clear_accounts();
  }
  for (v1::HeaderMatch& header : *normal.mutable_headers()) {
    header.set_name(ToLower(header.name()));
  }
  return normal;
}

bool ListCovers(const StringList& outer, const StringList& inner) {
  if (outer.empty()) {
    return true;
  }
  return !inner.empty() &&
         std::includes(outer.begin(), outer.end(), inner.begin(), inner.end());
}

bool PathsCover(const StringList& outer, const StringList& inner) {
  if (outer.empty()) {
    return true;
  }
  return !inner.empty() &&
         std::all_of(inner.begin(), inner.end(), [&](const auto& longer) {
           return std::any_of(
               outer.begin(), outer.end(),
               [&](const auto& prefix) { return longer.starts_with(prefix); });
         });
}

bool HeadersCover(const v1::When& outer, const v1::When& inner) {
  return std::all_of(
      outer.headers().begin(), outer.headers().end(), [&](const auto& wanted) {
        return std::any_of(inner.headers().begin(), inner.headers().end(),
                           [&](const auto& given) {
                             return given.name() == wanted.name() &&
                                    (wanted.equals().empty() ||
                                     wanted.equals() == given.equals());
                           });
      });
}

bool SizesCover(const v1::When& outer, const v1::When& inner) {
  const bool below = outer.max_prompt_bytes() == 0 ||
                     (inner.max_prompt_bytes() != 0 &&
                      inner.max_prompt_bytes() <= outer.max_prompt_bytes());
  return below && outer.min_prompt_bytes() <= inner.min_prompt_bytes() &&
         outer.max_output_tokens_over() <= inner.max_output_tokens_over();
}

constexpr uint32_t kMinutesOfDay = 1440;

// Minutes from `from` to `minute`, going forward around midnight.
uint32_t MinutesAfter(uint32_t from, uint32_t minute) {
  return (minute + kMinutesOfDay - from) % kMinutesOfDay;
}

bool WindowsCover(const v1::When& outer, const v1::When& inner) {
  if (!outer.has_time_window()) {
    return true;
  }
  const v1::TimeWindow& wide = outer.time_window();
  if (wide.from_minute() == 0 && wide.until_minute() == kMinutesOfDay) {
    return true;
  }
  if (!inner.has_time_window()) {
    return false;
  }
  const v1::TimeWindow& narrow = inner.time_window();
  const uint32_t wide_size =
      MinutesAfter(wide.from_minute(), wide.until_minute());
  const uint32_t start = MinutesAfter(wide.from_minute(), narrow.from_minute());
  const uint32_t size =
      MinutesAfter(narrow.from_minute(), narrow.until_minute());
  return size != 0 && start + size <= wide_size;
}

bool Covers(const v1::When& outer, const v1::When& inner) {
  return ListCovers(outer.accounts(), inner.accounts()) &&
         ListCovers(outer.models(), inner.models()) &&
         ListCovers(outer.services(), inner.services()) &&
         ListCovers(outer.methods(), inner.methods()) &&
         PathsCover(outer.path_prefixes(), inner.path_prefixes()) &&
         HeadersCover(outer, inner) && SizesCover(outer, inner) &&
         WindowsCover(outer, inner);
}

// @return why no request can meet the conditions; empty if one can
std::string_view Contradiction(const v1::When& when) {
  if (!when.models().empty() && !when.services().empty()) {
    return "a request names a model or a service, never both";
  }
  if (when.max_prompt_bytes() != 0 &&
      when.min_prompt_bytes() > when.max_prompt_bytes()) {
    return "min_prompt_bytes is above max_prompt_bytes";
  }
  if (when.has_time_window() &&
      when.time_window().from_minute() == when.time_window().until_minute()) {
    return "time_window is empty";
  }
  return {};
}

std::string_view FirstOf(const StringList& list) {
  return list.empty() ? std::string_view() : std::string_view(list.Get(0));
}

// @return the first earlier rule that matches all that `when` matches
size_t CoveringRule(const v1::When& when,
                    const RuleIndex& index,
                    const std::vector<v1::When>& earlier) {
  // A covering rule names all accounts and all targets of `when`, or none, so
  // a lookup by the first ones finds it.
  RuleIndex::Cursor cursor =
      index.Find(FirstOf(when.accounts()), FirstOf(when.models()),
                 FirstOf(when.services()));
  for (size_t position = cursor.Next(); position != RuleIndex::Cursor::kEnd;
       position = cursor.Next()) {
    if (Covers(earlier[position], when)) {
      return position;
    }
  }
  return RuleIndex::Cursor::kEnd;
}

}  // namespace

void CheckReachability(const v1::Configuration& configuration, Report& report) {
  RuleIndex index;
  std::vector<v1::When> earlier;
  std::vector<size_t> positions;  // of `earlier` in the file
  for (int i = 0; i < configuration.rules_size(); ++i) {
    const auto file_position = static_cast<size_t>(i);
    const std::string path = ItemPath("$.rules", file_position);
    const v1::When when = Normalized(configuration.rules(i).when(),
                                     configuration.accounts_size());
    const std::string_view contradiction = Contradiction(when);
    if (!contradiction.empty()) {
      report.Add(ErrorId::kConfigUnreachableRule, path + ".when",
                 std::string(contradiction));
      continue;
    }
    const size_t covering = CoveringRule(when, index, earlier);
    if (covering != RuleIndex::Cursor::kEnd) {
      const size_t position = positions[covering];
      report.Add(ErrorId::kConfigUnreachableRule, path,
                 ItemPath("$.rules", position) + " (" +
                     configuration.rules(static_cast<int>(position)).id() +
                     ") matches all that this rule matches");
      continue;
    }
    index.Add(when);
    earlier.push_back(when);
    positions.push_back(file_position);
  }
}

}  // namespace coppervalve::config
