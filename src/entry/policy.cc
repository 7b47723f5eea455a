#include "coppervalve/entry/policy.h"

#include <algorithm>     // min
#include <array>         // to_array
#include <charconv>      // from_chars
#include <chrono>        // milliseconds
#include <string>        // string
#include <system_error>  // errc
#include <variant>       // variant, visit

namespace coppervalve::entry {

namespace {

using Field = std::variant<double*, bool*, core::Duration*>;

/// @brief A member of the policy that can be changed by name.
struct NamedField {
  std::string_view name;
  Field (*of)(Policy&);
};

constexpr auto kFields = std::to_array<NamedField>({
    {"book.ahead", [](Policy& p) -> Field { return &p.book.ahead; }},
    {"book.spread", [](Policy& p) -> Field { return &p.book.spread; }},
    {"book.first_share",
     [](Policy& p) -> Field { return &p.book.first_share; }},
    {"book.most_held", [](Policy& p) -> Field { return &p.book.most_held; }},
    {"book.spread_rest",
     [](Policy& p) -> Field { return &p.book.spread_rest; }},
    {"book.loss_counts",
     [](Policy& p) -> Field { return &p.book.loss_counts; }},
    {"book.scarce_below",
     [](Policy& p) -> Field { return &p.book.scarce_below; }},
    {"book.held_back", [](Policy& p) -> Field { return &p.book.held_back; }},
    {"book.held_back_spread",
     [](Policy& p) -> Field { return &p.book.held_back_spread; }},
    {"hold.losses_before",
     [](Policy& p) -> Field { return &p.book.hold.losses_before; }},
    {"hold.outages_before",
     [](Policy& p) -> Field { return &p.book.hold.outages_before; }},
    {"hold.least", [](Policy& p) -> Field { return &p.book.hold.least; }},
    {"hold.most", [](Policy& p) -> Field { return &p.book.hold.most; }},
    {"book.urgent_ahead",
     [](Policy& p) -> Field { return &p.book.urgent_ahead; }},
    {"book.urgent_part",
     [](Policy& p) -> Field { return &p.book.urgent_part; }},
    {"book.own_share", [](Policy& p) -> Field { return &p.book.own_share; }},
    {"book.standbys_share",
     [](Policy& p) -> Field { return &p.book.standbys_share; }},
    {"placement.missed_prefix",
     [](Policy& p) -> Field { return &p.placement.missed_token_weight; }},
    {"placement.running",
     [](Policy& p) -> Field { return &p.placement.running_cost; }},
    {"placement.beyond_slots",
     [](Policy& p) -> Field { return &p.placement.over_slots_cost; }},
    {"placement.beyond_plain_slots",
     [](Policy& p) -> Field { return &p.placement.over_slots_weight_plain; }},
    {"placement.own_domain",
     [](Policy& p) -> Field { return &p.placement.own_domain_bonus; }},
    {"placement.cold",
     [](Policy& p) -> Field { return &p.placement.cold_cost; }},
    {"placement.cold_plain",
     [](Policy& p) -> Field { return &p.placement.cold_cost_plain; }},
    {"placement.prefix_owner",
     [](Policy& p) -> Field { return &p.placement.use_prefix_owner; }},
    {"placement.prefix_sent",
     [](Policy& p) -> Field { return &p.placement.use_prefix_sent; }},
    {"placement.slowness",
     [](Policy& p) -> Field { return &p.placement.use_slowness; }},
    {"placement.suspicion",
     [](Policy& p) -> Field { return &p.placement.use_suspicion; }},
    {"placement.guess_silent",
     [](Policy& p) -> Field { return &p.placement.estimate_silent; }},
    {"shedding", [](Policy& p) -> Field { return &p.shedding.enabled; }},
    {"shedding.free_part",
     [](Policy& p) -> Field { return &p.shedding.free_share; }},
    {"shedding.full_part",
     [](Policy& p) -> Field { return &p.shedding.full_share; }},
    {"shedding.rank_part",
     [](Policy& p) -> Field { return &p.shedding.rank_factor; }},
    {"limit", [](Policy& p) -> Field { return &p.limit.enforce; }},
    {"limit.given_out",
     [](Policy& p) -> Field { return &p.limit.allocated_share; }},
    {"limit.spare_senders",
     [](Policy& p) -> Field { return &p.limit.spare_senders; }},
    {"limit.most_senders",
     [](Policy& p) -> Field { return &p.limit.max_senders; }},
    {"warm_up", [](Policy& p) -> Field { return &p.warm_up.enforce; }},
    {"warm_up.all_live",
     [](Policy& p) -> Field { return &p.warm_up.all_live; }},
    {"warm_up.given_out",
     [](Policy& p) -> Field { return &p.warm_up.allocated_share; }},
    {"warm_up.most_senders",
     [](Policy& p) -> Field { return &p.warm_up.max_senders; }},
    {"gifts", [](Policy& p) -> Field { return &p.gifts; }},
    {"least_active", [](Policy& p) -> Field { return &p.least_active; }},
    {"settle", [](Policy& p) -> Field { return &p.settle; }},
    {"load_reports", [](Policy& p) -> Field { return &p.load_reports; }},
});

void Set(Field field, double number) {
  if (bool** flag = std::get_if<bool*>(&field)) {
    **flag = number != 0;
  } else if (core::Duration** span = std::get_if<core::Duration*>(&field)) {
    constexpr double kMicrosPerMilli = 1'000;
    **span = core::Duration(static_cast<int64_t>(number * kMicrosPerMilli));
  } else {
    *std::get<double*>(field) = number;
  }
}

bool ReadPart(std::string_view part, Policy& policy) {
  const size_t equals = part.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view name = part.substr(0, equals);
  const std::string_view value = part.substr(equals + 1);
  double number = 0;
  const auto read =
      std::from_chars(value.data(), value.data() + value.size(), number);
  if (read.ec != std::errc() || read.ptr != value.data() + value.size()) {
    return false;
  }
  for (const NamedField& field : kFields) {
    if (field.name == name) {
      Set(field.of(policy), number);
      return true;
    }
  }
  return false;
}

}  // namespace

core::Result<Policy> ParsePolicy(std::string_view changes) {
  Policy policy;
  while (!changes.empty()) {
    const std::string_view part = changes.substr(0, changes.find(','));
    if (!ReadPart(part, policy)) {
      return core::Error{core::ErrorId::kSettingBadValue, "policy",
                         std::string(part)};
    }
    changes.remove_prefix(std::min(part.size() + 1, changes.size()));
  }
  return policy;
}

std::vector<std::string_view> PolicyNames() {
  std::vector<std::string_view> names;
  names.reserve(kFields.size());
  for (const NamedField& field : kFields) {
    names.push_back(field.name);
  }
  return names;
}

}  // namespace coppervalve::entry
