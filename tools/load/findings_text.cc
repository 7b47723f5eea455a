#include "tools/load/findings_text.h"

#include <boost/json/array.hpp>
#include <sstream>  // ostringstream

namespace coppervalve::load {

namespace json = boost::json;

std::string ToText(const Findings& findings) {
  std::ostringstream text;
  text << "log: offsets " << findings.started_at.value() << " to "
       << findings.next_offset.value() << "\n";
  text << "upstreams: " << findings.runs << " runs recorded, "
       << findings.begun_only << " of them cut off by their engine's death\n";
  for (const std::string& upstream : findings.missing) {
    text << "upstreams: no records of " << upstream << "; this is no proof\n";
  }
  for (const auto& [budget, finding] : findings.budgets) {
    text << "budget " << budget << " paid-in " << finding.paid_in.value()
         << " used " << finding.used.value() << " billed "
         << finding.billed.value() << " written-off "
         << finding.written_off.value() << " overspend "
         << finding.Overspend().value() << "\n";
  }
  text << "answers: " << findings.answered << " whole, of which "
       << findings.answered_unbilled << " billed to nobody and "
       << findings.answers_unproved << " in no record\n";
  text << "refused as not run and yet run: " << findings.ran_after_not_run
       << "\n";
  text << "audit: overspend " << findings.overspend.value()
       << " tokens, billed twice " << findings.billed_twice << ", ran twice "
       << findings.ran_twice << ", wrong answers " << findings.wrong_answers
       << "\n";
  return text.str();
}

json::object ToJson(const Findings& findings) {
  json::array budgets;
  for (const auto& [budget, finding] : findings.budgets) {
    budgets.push_back(json::object{{"id", budget},
                                   {"paid_in", finding.paid_in.value()},
                                   {"used", finding.used.value()},
                                   {"billed", finding.billed.value()},
                                   {"written_off", finding.written_off.value()},
                                   {"overspend", finding.Overspend().value()}});
  }
  return {{"clean", findings.IsClean()},
          {"overspend", findings.overspend.value()},
          {"billed_twice", findings.billed_twice},
          {"ran_twice", findings.ran_twice},
          {"wrong_answers", findings.wrong_answers},
          {"ran_after_not_run", findings.ran_after_not_run},
          {"answered", findings.answered},
          {"answered_unbilled", findings.answered_unbilled},
          {"answers_unproved", findings.answers_unproved},
          {"runs", findings.runs},
          {"begun_only", findings.begun_only},
          {"missing",
           json::array(findings.missing.begin(), findings.missing.end())},
          {"started_at", findings.started_at.value()},
          {"next_offset", findings.next_offset.value()},
          {"budgets", std::move(budgets)}};
}

}  // namespace coppervalve::load
