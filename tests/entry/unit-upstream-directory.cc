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

TEST(UpstreamDirectory, an_entry_removed_by_a_healthy_store_is_gone) {
  CHECK(directory.Remove(one, contact, At(10)));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory,
     entries_that_expired_in_an_outage_are_used_until_they_return) {
  // Guards against rejecting callers with every upstream idle. The store is
  // unavailable for longer than entries last without heartbeats; when it is
  // back, the expiry of all entries is read first, and the upstreams announce
  // themselves again only a second later.
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  CHECK_FALSE(directory.Remove(one, contact, At(20)));
  CHECK_EQUAL(1, directory.Of(tickets).size());
  CHECK(directory.DropExpired(contact, At(21)).empty());
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.DropExpired(contact, At(23)).empty());
  CHECK_EQUAL(1, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, entries_missing_two_seconds_after_the_outage_are_gone) {
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  directory.Remove(one, contact, At(20));
  CHECK_EQUAL(1, directory.DropExpired(contact, At(22)).size());
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory,
     an_entry_removed_well_after_the_outage_is_gone_at_once) {
  // Guards against sending to an upstream that left. The store was unavailable
  // and returned; an upstream that leaves normally two and a half seconds later
  // must not be taken for an entry that expired in the outage, which would be
  // used for two more seconds (acuerdo-mx, fresh-994b).
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
     an_upstream_with_a_new_id_at_the_same_address_is_another_one) {
  directory.OnRecord(RecordOf(EntryOf("two")));
  CHECK_EQUAL(2, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, entries_missing_from_a_new_list_are_removed) {
  directory.ReplaceAll({RecordOf(EntryOf("two"))}, contact, At(10));
  CHECK_EQUAL(1, directory.Of(tickets).size());
  STRCMP_EQUAL("two", directory.Of(tickets).front()->entry.id.value().c_str());
}

TEST(UpstreamDirectory, a_late_timeout_of_a_call_does_not_prolong_the_outage) {
  // Guards against sending to an upstream that left three seconds ago. The
  // store is back and the entry is read as expired; then a call made during the
  // outage times out, which must not restart the time to return (acuerdo-mx,
  // scale-1 --seed 1046941036923).
  contact.OnFailure(At(10));
  contact.OnAnswer(At(20));
  directory.Remove(one, contact, At(20));
  contact.OnFailure(At(19));
  CHECK_EQUAL(1, directory.DropExpired(contact, At(22)).size());
}

namespace {

UpstreamEntry EntryWithStart(int64_t start_number) {
  UpstreamEntry entry = EntryOf("one");
  entry.start_number = start_number;
  return entry;
}

}  // namespace

TEST(UpstreamDirectory, a_restart_under_the_same_id_has_no_earlier_state) {
  // Guards against placement by the state of an earlier start: its cached
  // prefixes and its failures. The upstream crashed and restarted under its id;
  // only `start_number` differs.
  directory.OnRecord(RecordOf(EntryWithStart(100)));
  const UpstreamRef before = directory.Find(one);
  before->in_flight = 7;
  before->in_prefill = 50'000;
  before->prefixes.Insert(1, At(1));
  for (int i = 0; i < 20; ++i) {
    before->health.On(AttemptOutcome::kBroken, At(1));
  }
  CHECK(directory.OnRecord(RecordOf(EntryWithStart(200))) ==
        DirectoryChange::kNewStart);
  const UpstreamRef after = directory.Find(one);
  CHECK_EQUAL(0, after->in_flight);
  CHECK_EQUAL(0, after->in_prefill);
  CHECK_FALSE(after->prefixes.Contains(1, At(1)));
  CHECK(after->health.trust(At(1)) == Trust::kFull);
  CHECK(after->load_key != before->load_key);
  // Requests in progress end at the start that they were sent to.
  CHECK(before != after);
  CHECK_EQUAL(7, before->in_flight);
  CHECK(before->entry.leaving);
}

// Guards against a stream that goes on at an upstream that restarted with
// another software version and without a start number.
TEST(UpstreamDirectory, another_version_under_the_same_id_is_another_start) {
  const UpstreamRef before = directory.Find(one);
  UpstreamEntry entry = EntryOf("one");
  entry.version = core::UpstreamVersion("v2");
  CHECK(directory.OnRecord(RecordOf(entry)) == DirectoryChange::kNewStart);
  CHECK(directory.Find(one) != before);
  CHECK(before->entry.version.empty() && before->entry.leaving);
  CHECK_EQUAL(1, directory.versions().at(tickets).size());
  directory.Remove(one, contact, At(10));
  CHECK_FALSE(directory.versions().contains(tickets));
}

TEST(UpstreamDirectory, a_late_record_of_an_earlier_start_changes_nothing) {
  // Guards against sending to an unused address: the record of a start that
  // ended was read after that of its successor.
  directory.OnRecord(RecordOf(EntryWithStart(200)));
  UpstreamEntry late = EntryWithStart(100);
  late.address = "10.0.0.9:80";
  late.leaving = true;
  CHECK(directory.OnRecord(RecordOf(late)) == DirectoryChange::kNothing);
  CHECK_EQUAL(1, directory.Of(tickets).size());
  CHECK(directory.Find(one)->entry.address == "10.0.0.1:80");
  // The late record changes nothing after the later start is gone for good,
  // either.
  CHECK(directory.Remove(one, contact, At(10)));
  CHECK(directory.OnRecord(RecordOf(late)) == DirectoryChange::kNothing);
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, a_record_without_an_upstream_removes_the_entry) {
  // Guards against sending to an upstream whose entry was overwritten by
  // another writer: its address may have been reassigned.
  CHECK(directory.OnRecord(Unreadable("one")) == DirectoryChange::kDropped);
  CHECK(directory.Of(tickets).empty());
  CHECK(directory.OnRecord(Unreadable("never-seen")) ==
        DirectoryChange::kNothing);
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK_EQUAL(1, directory.Of(tickets).size());
}

TEST(UpstreamDirectory, a_list_drops_unreadable_entries_and_keeps_the_rest) {
  // The list is read right after an outage, when expired entries are kept.
  directory.OnRecord(RecordOf(EntryOf("two")));
  contact.OnFailure(At(1));
  contact.OnAnswer(At(20));
  const auto ended = directory.ReplaceAll(
      {RecordOf(EntryOf("two")), Unreadable("one")}, contact, At(20));
  CHECK_EQUAL(1, ended.size());
  CHECK_EQUAL(1, directory.Of(tickets).size());
  STRCMP_EQUAL("two", directory.Of(tickets).front()->entry.id.value().c_str());
}

TEST(UpstreamDirectory,
     an_entry_of_an_unknown_service_serves_no_other_service) {
  directory.OnRecord(RecordOf(EntryOf("one", "unknown-service")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, an_announced_leave_overrides_later_records) {
  // Guards against sending to an upstream that is terminating. It announced in
  // a response that it is leaving; the store, unavailable until now, still
  // returns older records.
  CHECK(directory.OnLeavingAnnounced(directory.Find(one)));
  CHECK(directory.Of(tickets).empty());
  UpstreamEntry ready = EntryOf("one");
  ready.slots = 7;
  directory.OnRecord(RecordOf(ready));
  CHECK(directory.Of(tickets).empty());
  directory.ReplaceAll({RecordOf(ready)}, contact, At(5));
  CHECK(directory.Of(tickets).empty());
  CHECK_FALSE(directory.OnLeavingAnnounced(directory.Find(one)));
}

TEST(UpstreamDirectory, an_announced_leave_applies_when_the_entry_returns) {
  directory.OnLeavingAnnounced(directory.Find(one));
  directory.Remove(one, contact, At(10));
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory,
     an_announced_leave_is_kept_if_the_record_said_so_before) {
  // The record states that the upstream is leaving; then the store is
  // unavailable, and the first record read afterwards is an older one, in which
  // the upstream is ready.
  UpstreamEntry leaving = EntryOf("one");
  leaving.leaving = true;
  directory.OnRecord(RecordOf(leaving));
  CHECK_FALSE(directory.OnLeavingAnnounced(directory.Find(one)));
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, an_announced_leave_is_kept_if_the_entry_is_gone) {
  const UpstreamRef sender = directory.Find(one);
  directory.Remove(one, contact, At(10));
  CHECK_FALSE(directory.OnLeavingAnnounced(sender));
  directory.OnRecord(RecordOf(EntryOf("one")));
  CHECK(directory.Of(tickets).empty());
}

TEST(UpstreamDirectory, an_announced_leave_ends_with_its_start) {
  UpstreamEntry first = EntryOf("one");
  first.start_number = 1;
  directory.OnRecord(RecordOf(first));
  const UpstreamRef sender = directory.Find(one);
  directory.OnLeavingAnnounced(sender);
  UpstreamEntry second = first;
  second.start_number = 2;
  directory.OnRecord(RecordOf(second));
  CHECK_EQUAL(1, directory.Of(tickets).size());
  // A late response of the earlier start does not apply to this one.
  CHECK_FALSE(directory.OnLeavingAnnounced(sender));
  CHECK_EQUAL(1, directory.Of(tickets).size());
}

TEST(UpstreamDirectory,
     a_response_belongs_to_the_current_owner_of_the_address) {
  directory.OnRecord(RecordOf(EntryOf("two")));
  const UpstreamRef asked = directory.Find(one);
  CHECK(directory.OtherAtAddress(*asked)->entry.id == core::UpstreamId("two"));
  directory.OnRecord(RecordOf(EntryOf("three")));
  CHECK(directory.OtherAtAddress(*asked) == nullptr);
}

TEST(UpstreamDirectory, the_pause_that_ends_first_determines_the_retry_delay) {
  directory.OnRecord(RecordOf(EntryOf("two")));
  directory.Find(one)->paused_until = At(9);
  CHECK_FALSE(directory.AllPausedUntil(tickets, At(5)).has_value());
  directory.Find(core::UpstreamId("two"))->paused_until = At(7);
  CHECK(directory.AllPausedUntil(tickets, At(5)) == At(7));
  CHECK_FALSE(directory.AllPausedUntil(tickets, At(8)).has_value());
}
