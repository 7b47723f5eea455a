#include "coppervalve/routing/admission_queue.h"

#include <CppUTest/TestHarness.h>

#include <map>  // map
#include <set>  // set

#include "routing_fixture.h"

using namespace coppervalve;
using namespace coppervalve::routing;
using namespace coppervalve::routing::testing;

namespace {

const PoolId kPool = PoolOf(Chat());
const LaneId kLane = LaneOf(Chat(), core::RuleId("any"));

QueueEntry Entry(uint64_t request,
                 v1::AdmissionClass admission_class,
                 int64_t start_by_ms,
                 const std::string& account = "tours") {
  return {core::RequestId(request), core::AccountId(account), kPool, kLane,
          admission_class,          At(start_by_ms),          1};
}

/// Starts at most one entry. @return its id; 0 when none started
uint64_t StartOne(AdmissionQueue& queue, core::TimePoint now) {
  uint64_t started = 0;
  queue.Drain(now, [&started](const QueueEntry& entry) {
    if (started != 0) {
      return false;
    }
    started = entry.request.value();
    return true;
  });
  return started;
}

/// Queues and starts entries so that the queue measures one start per
/// `interval_ms`.
void MeasureStartRate(AdmissionQueue& queue,
                      int64_t interval_ms,
                      int64_t until_ms) {
  for (uint64_t i = 0; i < 20; ++i) {
    queue.Offer(Entry(900'000 + i, v1::BATCH, 10'000'000, "measure"), At(0));
  }
  for (int64_t i = 0; i < 20; ++i) {
    StartOne(queue, At(until_ms - (19 - i) * interval_ms));
  }
}

}  // namespace

// clang-format off
TEST_GROUP(AdmissionQueue){};
// clang-format on

TEST(AdmissionQueue,
     gate_has_priority_and_every_batch_entry_starts_eventually) {
  // Guards against starvation of BATCH entries. GATE entries arrive as fast as
  // they are served during the whole test and start almost immediately. The 20
  // waiting BATCH entries still all start, because one start in ten is reserved
  // for them.
  AdmissionQueue queue({}, Seeded(1));
  for (uint64_t i = 1; i <= 20; ++i) {
    CHECK(!queue.Offer(Entry(i, v1::BATCH, 1'000'000), At(0)).refused);
  }
  int itineraries = 0;
  int64_t longest_gate_wait = 0;
  for (int64_t now = 0; now < 300; ++now) {
    const uint64_t gate = 1000 + static_cast<uint64_t>(now);
    if (now % 10 != 9) {
      queue.Offer(Entry(gate, v1::GATE, now + 2000, "gate"), At(now));
    }
    const uint64_t started = StartOne(queue, At(now));
    if (started < 1000) {
      itineraries += started > 0 ? 1 : 0;
      continue;
    }
    longest_gate_wait =
        std::max(longest_gate_wait, now - static_cast<int64_t>(started - 1000));
  }
  LONGS_EQUAL(20, itineraries);
  CHECK(longest_gate_wait <= 2);
}

TEST(AdmissionQueue, each_offered_request_ends_exactly_once) {
  // Random load far above capacity, with callers that disconnect, a full queue
  // and displaced BATCH entries. Each request must end exactly once: started,
  // refused with a typed error, removed because its caller disconnected, or
  // refused at the drain. None may be lost.
  const RandomSource random = Seeded(42);
  AdmissionQueueOptions options;
  options.capacity = 40;
  options.batch_share = 1;
  options.account_share = 100;  // so that the queue fills and displaces
  AdmissionQueue queue(options, Seeded(2));
  std::map<uint64_t, int> ends;
  int displaced = 0;
  const auto end = [&ends](core::RequestId request) {
    ++ends[request.value()];
  };
  uint64_t last = 0;
  for (int64_t now = 0; now < 5000; now += 5) {
    for (int arrivals = 0; arrivals < 2; ++arrivals) {
      const auto admission_class =
          static_cast<v1::AdmissionClass>(1 + UniformBelow(random, 3));
      const int64_t longest = admission_class == v1::BATCH ? 20'000 : 500;
      const auto window = static_cast<int64_t>(
          UniformBelow(random, static_cast<uint64_t>(longest)));
      const std::string account = std::to_string(UniformBelow(random, 5));
      const QueueEntry entry =
          Entry(++last, admission_class, now + window, account);
      const OfferOutcome outcome = queue.Offer(entry, At(now));
      if (outcome.refused) {
        CHECK(outcome.refused->retry_after.has_value());
        end(entry.request);
      }
      if (outcome.displaced) {
        CHECK(outcome.displaced->refusal.error.id == core::ErrorId::kQueueFull);
        ++displaced;
        end(outcome.displaced->request);
      }
    }
    if (now % 25 == 0 && queue.Remove(core::RequestId(last))) {
      end(core::RequestId(last));
    }
    for (const QueueRefusal& refusal : queue.Expire(At(now))) {
      end(refusal.request);
    }
    if (const uint64_t started = StartOne(queue, At(now))) {
      end(core::RequestId(started));
    }
  }
  const core::Error draining{core::ErrorId::kDraining, "", ""};
  for (const QueueRefusal& refusal : queue.RefuseAll(draining)) {
    end(refusal.request);
  }
  LONGS_EQUAL(0, queue.size());
  LONGS_EQUAL(last, ends.size());
  for (const auto& [request, times] : ends) {
    LONGS_EQUAL(1, times);
  }
  CHECK(displaced > 0);
}

TEST(AdmissionQueue,
     a_gate_request_displaces_the_batch_entry_with_the_latest_deadline) {
  // The queue is full when a GATE request arrives. The BATCH entry with the
  // latest deadline is refused at once with a retry time, and the GATE request
  // takes its place.
  AdmissionQueueOptions options;
  options.capacity = 4;
  options.batch_share = 1;
  AdmissionQueue queue(options, Seeded(1));
  queue.Offer(Entry(1, v1::BATCH, 5000, "a"), At(0));
  queue.Offer(Entry(2, v1::BATCH, 9000, "b"), At(0));
  queue.Offer(Entry(3, v1::BATCH, 7000, "c"), At(0));
  queue.Offer(Entry(4, v1::GATE, 2000, "d"), At(0));
  const OfferOutcome gate = queue.Offer(Entry(5, v1::GATE, 2000, "e"), At(0));
  CHECK(!gate.refused);
  CHECK(gate.displaced->request == core::RequestId(2));
  CHECK(gate.displaced->refusal.retry_after.has_value());
  const OfferOutcome batch = queue.Offer(Entry(6, v1::BATCH, 9000, "f"), At(0));
  CHECK(batch.refused->error.id == core::ErrorId::kQueueFull);
}

TEST(AdmissionQueue,
     a_request_that_would_miss_its_deadline_is_refused_at_once) {
  // One entry starts every 100 ms and 10 wait. Without an early refusal, a
  // caller with 150 ms left would be refused only at its deadline, too late to
  // try anything else.
  AdmissionQueue queue({}, Seeded(1));
  MeasureStartRate(queue, 100, 2000);
  for (uint64_t i = 1; i <= 10; ++i) {
    queue.Offer(Entry(i, v1::BATCH, 60'000), At(2000));
  }
  const OfferOutcome late =
      queue.Offer(Entry(11, v1::BATCH, 2500, "x"), At(2000));
  CHECK(!late.refused);  // accounts take turns: only one entry is before it
  const OfferOutcome same = queue.Offer(Entry(12, v1::BATCH, 60'001), At(2000));
  CHECK(!same.refused);
  const OfferOutcome predicted_late =
      queue.Offer(Entry(13, v1::BATCH, 2150, "y"), At(2000));
  CHECK(predicted_late.refused->error.id == core::ErrorId::kDeadlineTooShort);
}

TEST(AdmissionQueue,
     waiting_entries_are_refused_early_when_service_slows_down) {
  // Ten requests with 18 s left were queued at a rate of one start every 100
  // ms. Then the upstreams slow down to one start every 5 s. The entries at the
  // end of the queue must be refused well before their deadline.
  AdmissionQueue queue({}, Seeded(1));
  MeasureStartRate(queue, 100, 2000);
  for (uint64_t i = 1; i <= 10; ++i) {
    CHECK(!queue.Offer(Entry(i, v1::BATCH, 20'000), At(2000)).refused);
  }
  StartOne(queue, At(2100));
  CHECK(queue.Expire(At(2200)).empty());
  for (int64_t i = 1; i <= 2; ++i) {
    StartOne(queue, At(2100 + i * 5000));
  }
  std::vector<QueueRefusal> refusals = queue.Expire(At(17'000));
  CHECK(!refusals.empty());
  CHECK(refusals.size() < 7);
  CHECK(refusals[0].refusal.error.id == core::ErrorId::kDeadlineTooShort);
  refusals = queue.Expire(At(20'000));
  CHECK(refusals[0].refusal.error.id == core::ErrorId::kQueueTimeout);
  LONGS_EQUAL(0, queue.size());
}

TEST(AdmissionQueue, retry_after_grows_with_the_backlog) {
  AdmissionQueue queue({}, [] { return uint64_t{0}; });
  MeasureStartRate(queue, 100, 2000);
  core::Duration last{};
  for (uint64_t i = 1; i <= 100; ++i) {
    queue.Offer(Entry(i, v1::BATCH, 60'000), At(2000));
    if (i % 20 != 0) {
      continue;
    }
    const core::Duration retry_after =
        queue.RetryAfter(kPool, core::AccountId("tours"), v1::BATCH, At(2000));
    CHECK(retry_after > last);
    last = retry_after;
  }
  CHECK(last >= Millis(9'000));
  CHECK(last <= Millis(12'000));
}

TEST(AdmissionQueue, an_expired_rate_does_not_refuse_new_requests) {
  // During the night an upstream was slow, with one start every 3 s. In the
  // morning two GATE requests arrive together, each with 2 s left. By the old
  // rate the second would be refused, although nothing waits and all upstreams
  // are idle.
  AdmissionQueue queue({}, Seeded(1));
  for (uint64_t i = 1; i <= 20; ++i) {
    queue.Offer(Entry(i, v1::GATE, 1'000'000), At(0));
  }
  for (int64_t i = 1; i <= 20; ++i) {
    StartOne(queue, At(i * 3000));
  }
  CHECK(!queue.Offer(Entry(31, v1::GATE, 62'000), At(60'000)).refused);
  CHECK(
      queue.Offer(Entry(32, v1::GATE, 62'000), At(60'000)).refused.has_value());
  StartOne(queue, At(60'100));
  CHECK(!queue.Offer(Entry(33, v1::GATE, 92'000), At(90'000)).refused);
  CHECK(!queue.Offer(Entry(34, v1::GATE, 92'000), At(90'000)).refused);
}

TEST(AdmissionQueue, accounts_of_one_class_take_turns) {
  // A large account queues 200 BATCH entries before a small account queues 5.
  // The small account does not wait for all of them but gets every other start.
  AdmissionQueue queue({}, Seeded(1));
  for (uint64_t i = 1; i <= 200; ++i) {
    queue.Offer(Entry(i, v1::BATCH, 100'000, "large"), At(0));
  }
  for (uint64_t i = 1001; i <= 1005; ++i) {
    queue.Offer(Entry(i, v1::BATCH, 100'000, "small"), At(0));
  }
  int small = 0;
  for (int64_t i = 0; i < 11; ++i) {
    small += StartOne(queue, At(i)) > 1000 ? 1 : 0;
  }
  LONGS_EQUAL(5, small);
}

TEST(AdmissionQueue, one_account_cannot_fill_the_queue) {
  AdmissionQueueOptions options;
  options.interactive_share = 0.9;
  options.account_share = 2;
  AdmissionQueue queue(options, Seeded(1));
  int taken = 0;
  for (uint64_t i = 1; i <= 2000; ++i) {
    const auto entry = Entry(i, v1::INTERACTIVE, 100'000, "large");
    taken += queue.Offer(entry, At(0)).refused ? 0 : 1;
  }
  CHECK(taken > 400);
  CHECK(taken < 800);
  const auto small = Entry(5000, v1::INTERACTIVE, 100'000, "small");
  CHECK(!queue.Offer(small, At(0)).refused);
}

TEST(AdmissionQueue, entries_of_an_account_start_by_earliest_deadline) {
  AdmissionQueue queue({}, Seeded(1));
  queue.Offer(Entry(1, v1::INTERACTIVE, 9000), At(0));
  queue.Offer(Entry(2, v1::INTERACTIVE, 3000), At(0));
  queue.Offer(Entry(3, v1::INTERACTIVE, 6000), At(0));
  LONGS_EQUAL(2, StartOne(queue, At(1)));
  LONGS_EQUAL(3, StartOne(queue, At(2)));
  LONGS_EQUAL(1, StartOne(queue, At(3)));
}

TEST(AdmissionQueue, a_blocked_lane_does_not_block_another) {
  // The rule of request 1 allows only busy engines. Request 2 of the same
  // account, which is behind it, may use other engines.
  AdmissionQueue queue({}, Seeded(1));
  queue.Offer(Entry(1, v1::BATCH, 5000), At(0));
  QueueEntry other = Entry(2, v1::BATCH, 9000);
  other.lane = LaneOf(Chat(), core::RuleId("other"));
  queue.Offer(other, At(0));
  const size_t starts = queue.Drain(At(1), [](const QueueEntry& entry) {
    return entry.request == core::RequestId(2);
  });
  LONGS_EQUAL(1, starts);
  LONGS_EQUAL(1, queue.size());
}
