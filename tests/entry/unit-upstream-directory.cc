#include "coppervalve/entry/upstream_directory.h"

#include <CppUTest/TestHarness.h>

#include "entry_fixture.h"

using namespace coppervalve;
using namespace coppervalve::entry;
using namespace coppervalve::entry::testing;

// clang-format off
TEST_GROUP(UpstreamDirectory) {
  UpstreamDirectory directory{DirectoryOptions{}};
  StoreContact contact;
  core::ServiceId tickets{"tickets"};
  core::UpstreamId one{"one"};
  void setup() override {
    contact.OnAnswer(At(0));
    directory.Put(EntryOf("one"));
  }
};
// clang-format on

TEST(UpstreamDirectory, an_entry_that_goes_from_a_store_in_order_is_gone) {
  CHECK(directory.Remove(one, contact, At(10)));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory,
     entries_that_lapsed_in_an_outage_serve_until_they_return) {
  // Callers are refused with every upstream idle. The store is away for longer
  // than an upstream's silence lasts; when it is back the first thing read is
  // that all entries lapsed; the upstreams announce themselves again only a
  // second later.
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  CHECK_FALSE(directory.Remove(one, contact, At(20)));
  CHECK_EQUAL(1, directory.Of(tickets).size());
  CHECK(directory.DropLapsed(contact, At(21)).empty());
  directory.Put(EntryOf("one"));
  CHECK(directory.DropLapsed(contact, At(23)).empty());
  CHECK_EQUAL(1, directory.Of(tickets).size());
}

TEST(UpstreamDirectory,
     what_has_not_returned_two_seconds_after_the_store_is_gone) {
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  directory.Remove(one, contact, At(20));
  CHECK_EQUAL(1, directory.DropLapsed(contact, At(22)).size());
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory,
     an_entry_that_goes_well_after_the_return_is_gone_at_once) {
  // A caller's seat hold reaches an upstream that left. The store was away and
  // came back; two and a half seconds later an upstream leaves in order; the
  // router took that for a lapse of the outage and sent to it for two seconds
  // more (acuerdo-mx, fresh-994b).
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  CHECK(directory.Remove(one, contact, At(22.6)));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, a_leaving_upstream_gets_no_new_work) {
  UpstreamEntry leaving = EntryOf("one");
  leaving.leaving = true;
  CHECK(directory.Put(leaving));
  CHECK(directory.Of(tickets).empty());
  CHECK(directory.Find(one) != nullptr);
}

TEST(UpstreamDirectory,
     a_restarted_upstream_is_another_one_at_the_same_address) {
  directory.Put(EntryOf("two"));
  CHECK_EQUAL(2, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, a_list_read_anew_takes_away_what_it_lacks) {
  directory.ReplaceAll({EntryOf("two")}, contact, At(10));
  CHECK_EQUAL(1, directory.Of(tickets).size());
  STRCMP_EQUAL("two", directory.Of(tickets).front()->entry.id.value().c_str());
}

TEST(UpstreamDirectory,
     a_call_that_hung_through_the_outage_does_not_prolong_it) {
  // A caller's work reaches an upstream that left three seconds ago. The store
  // is back and its entry is read as lapsed; then a call that was made in the
  // outage times out, and the time to return began anew (acuerdo-mx, scale-1
  // --seed 1046941036923).
  contact.OnFailure(At(10));
  contact.OnAnswer(At(20));
  directory.Remove(one, contact, At(20));
  contact.OnFailure(At(19));
  CHECK_EQUAL(1, directory.DropLapsed(contact, At(22)).size());
}
