#include "coppervalve/entry/service_index.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>  // count
#include <string>     // to_string
#include <vector>     // vector

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

namespace {

constexpr int kUpstreams = 500;
const core::ServiceId kTickets("tickets");

std::string IdOf(int i) {
  return "u" + std::to_string(i);
}

std::vector<std::string> Ids(const UpstreamDirectory& directory) {
  std::vector<std::string> ids;
  for (const UpstreamRef& upstream : directory.Of(kTickets)) {
    ids.push_back(upstream->entry.id.value());
  }
  return ids;
}

}  // namespace

// clang-format off
TEST_GROUP(ServiceIndex) {
  UpstreamDirectory directory{DirectoryOptions{}};
  void setup() override {
    for (int i = 0; i < kUpstreams; ++i) {
      directory.OnRecord(RecordOf(EntryOf(IdOf(i))));
    }
  }
};
// clang-format on

TEST(ServiceIndex, the_order_does_not_depend_on_the_order_of_the_records) {
  UpstreamDirectory other{DirectoryOptions{}};
  for (int i = kUpstreams; i-- > 0;) {
    other.OnRecord(RecordOf(EntryOf(IdOf(i))));
  }
  CHECK(Ids(directory) == Ids(other));
}

TEST(ServiceIndex, changes_leave_the_order_of_the_others) {
  std::vector<std::string> expected = Ids(directory);
  UpstreamEntry leaving = EntryOf(expected[7]);
  leaving.leaving = true;
  UpstreamEntry moved = EntryOf(expected[9], "other");
  directory.OnRecord(RecordOf(leaving));
  directory.OnRecord(RecordOf(moved));
  directory.OnRecord(Unreadable(expected[11]));
  expected.erase(expected.begin() + 11);
  expected.erase(expected.begin() + 9);
  expected.erase(expected.begin() + 7);
  CHECK(Ids(directory) == expected);
  CHECK_EQUAL(1, directory.Of(core::ServiceId("other")).size());
}

TEST(ServiceIndex, a_restarted_upstream_is_listed_once) {
  UpstreamEntry restarted = EntryOf(IdOf(3));
  restarted.start_number = 1;
  directory.OnRecord(RecordOf(restarted));
  restarted.start_number = 2;
  directory.OnRecord(RecordOf(restarted));
  CHECK_EQUAL(kUpstreams, directory.Of(kTickets).size());
  const auto& listed = directory.Of(kTickets);
  const UpstreamRef current = directory.Find(restarted.id);
  CHECK_EQUAL(1, std::count(listed.begin(), listed.end(), current));
}

TEST(ServiceIndex, only_upstreams_with_requests_are_busy) {
  const UpstreamRef upstream = directory.Find(core::UpstreamId(IdOf(3)));
  ++upstream->in_flight;
  directory.MarkBusy(upstream);
  CHECK_EQUAL(1, directory.Busy().size());
  --upstream->in_flight;
  CHECK(directory.Busy().empty());
}
