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
    directory.OnRecord(RecordOf(EntryOf("one")));
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
  directory.OnRecord(RecordOf(EntryOf("one")));
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
  CHECK(directory.OnRecord(RecordOf(leaving)) == DirectoryChange::kChanged);
  CHECK(directory.Of(tickets).empty());
  CHECK(directory.Find(one) != nullptr);
}

TEST(UpstreamDirectory,
     a_restarted_upstream_is_another_one_at_the_same_address) {
  directory.OnRecord(RecordOf(EntryOf("two")));
  CHECK_EQUAL(2, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, a_list_read_anew_takes_away_what_it_lacks) {
  directory.ReplaceAll({RecordOf(EntryOf("two"))}, contact, At(10));
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

namespace {

UpstreamEntry BornAt(int64_t born) {
  UpstreamEntry entry = EntryOf("one");
  entry.born = born;
  return entry;
}

}  // namespace

TEST(UpstreamDirectory, a_start_under_the_same_id_is_known_nothing_of) {
  // Work is placed by what an earlier start held, and it is avoided for
  // failures that the new one didn't make. The upstream crashed and started
  // again under its id; only `born` tells.
  directory.OnRecord(RecordOf(BornAt(100)));
  const UpstreamRef before = directory.Find(one);
  before->in_flight = 7;
  before->in_prefill = 50'000;
  before->prefixes.Remember(1, At(1));
  for (int i = 0; i < 20; ++i) {
    before->health.On(AttemptOutcome::kBroken, At(1));
  }
  CHECK(directory.OnRecord(RecordOf(BornAt(200))) ==
        DirectoryChange::kNewStart);
  const UpstreamRef after = directory.Find(one);
  CHECK_EQUAL(0, after->in_flight);
  CHECK_EQUAL(0, after->in_prefill);
  CHECK_FALSE(after->prefixes.Holds(1, At(1)));
  CHECK(after->health.trust(At(1)) == Trust::kFull);
  CHECK(after->load_key != before->load_key);
  // Requests in progress end at the start that they were sent to.
  CHECK(before != after);
  CHECK_EQUAL(7, before->in_flight);
  CHECK(before->entry.leaving);
}

TEST(UpstreamDirectory, a_late_record_of_an_earlier_start_changes_nothing) {
  // Work goes to an address where nobody is any more: the record of a start
  // that ended was read after that of the start that followed.
  directory.OnRecord(RecordOf(BornAt(200)));
  UpstreamEntry late = BornAt(100);
  late.address = "10.0.0.9:80";
  late.leaving = true;
  CHECK(directory.OnRecord(RecordOf(late)) == DirectoryChange::kNothing);
  CHECK_EQUAL(1, directory.Of(tickets).size());
  CHECK(directory.Find(one)->entry.address == "10.0.0.1:80");
  // Also after the later start went for good.
  CHECK(directory.Remove(one, contact, At(10)));
  CHECK(directory.OnRecord(RecordOf(late)) == DirectoryChange::kNothing);
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, a_record_that_names_no_upstream_takes_the_entry_away) {
  // Work goes on to an upstream whose entry somebody else wrote over: its
  // address may be another's by now.
  CHECK(directory.OnRecord(Unreadable("one")) == DirectoryChange::kDropped);
  CHECK(directory.Of(tickets).empty());
  CHECK(directory.OnRecord(Unreadable("never-seen")) ==
        DirectoryChange::kNothing);
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK_EQUAL(1, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, a_list_drops_what_it_can_not_name_and_keeps_the_rest) {
  // Right after an outage, when entries that merely lapsed are kept.
  directory.OnRecord(RecordOf(EntryOf("two")));
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  const auto ended = directory.ReplaceAll(
      {RecordOf(EntryOf("two")), Unreadable("one")}, contact, At(20));
  CHECK_EQUAL(1, ended.size());
  CHECK_EQUAL(1, directory.Of(tickets).size());
  STRCMP_EQUAL("two", directory.Of(tickets).front()->entry.id.value().c_str());
}

TEST(UpstreamDirectory, an_entry_of_an_unknown_service_serves_no_other_one) {
  directory.OnRecord(RecordOf(EntryOf("one", "nobody-knows")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, what_an_upstream_says_of_leaving_outlives_its_records) {
  // Work is sent to an upstream that ends under it. It said in an answer that
  // it leaves; the store, away until now, still hands out records of before.
  CHECK(directory.OnLeavingWord(directory.Find(one)));
  CHECK(directory.Of(tickets).empty());
  UpstreamEntry ready = EntryOf("one");
  ready.slots = 7;
  directory.OnRecord(RecordOf(ready));
  CHECK(directory.Of(tickets).empty());
  directory.ReplaceAll({RecordOf(ready)}, contact, At(5));
  CHECK(directory.Of(tickets).empty());
  CHECK_FALSE(directory.OnLeavingWord(directory.Find(one)));
}

TEST(UpstreamDirectory, the_word_holds_when_the_entry_went_and_came_back) {
  directory.OnLeavingWord(directory.Find(one));
  directory.Remove(one, contact, At(10));
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, the_word_is_kept_where_the_record_said_so_before) {
  // The record says that it leaves; the store is away, and what is read first
  // afterwards is an earlier record, in which it is ready.
  UpstreamEntry leaving = EntryOf("one");
  leaving.leaving = true;
  directory.OnRecord(RecordOf(leaving));
  CHECK_FALSE(directory.OnLeavingWord(directory.Find(one)));
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, the_word_of_one_whose_entry_went_is_kept) {
  const UpstreamRef speaker = directory.Find(one);
  directory.Remove(one, contact, At(10));
  CHECK_FALSE(directory.OnLeavingWord(speaker));
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, the_word_ends_with_the_start_that_gave_it) {
  UpstreamEntry first = EntryOf("one");
  first.born = 1;
  directory.OnRecord(RecordOf(first));
  const UpstreamRef speaker = directory.Find(one);
  directory.OnLeavingWord(speaker);
  UpstreamEntry second = first;
  second.born = 2;
  directory.OnRecord(RecordOf(second));
  CHECK_EQUAL(1, directory.Of(tickets).size());
  // An answer of the earlier start that comes late says nothing of this one.
  CHECK_FALSE(directory.OnLeavingWord(speaker));
  CHECK_EQUAL(1, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, a_word_from_an_address_belongs_to_who_has_it_now) {
  directory.OnRecord(RecordOf(EntryOf("two")));
  const UpstreamRef asked = directory.Find(one);
  CHECK(directory.OtherAtAddress(*asked)->entry.id == core::UpstreamId("two"));
  directory.OnRecord(RecordOf(EntryOf("three")));
  CHECK(directory.OtherAtAddress(*asked) == nullptr);
}

TEST(UpstreamDirectory, the_first_pause_to_end_says_when_to_come_back) {
  directory.OnRecord(RecordOf(EntryOf("two")));
  directory.Find(one)->hold_until = At(9);
  CHECK_FALSE(directory.AllHoldUntil(tickets, At(5)).has_value());
  directory.Find(core::UpstreamId("two"))->hold_until = At(7);
  CHECK(directory.AllHoldUntil(tickets, At(5)) == At(7));
  CHECK_FALSE(directory.AllHoldUntil(tickets, At(8)).has_value());
}
