#include <CppUTest/TestHarness.h>

#include <algorithm>  // find
#include <map>        // map

#include "coppervalve/membership/retirement_watch.h"
#include "fleet.h"

using namespace coppervalve;
using namespace coppervalve::membership;

TEST_GROUP(RetirementWatch) {
  std::vector<Member> m_members = MakeMembers(6);
  core::TimePoint m_now = kStart;

  void Append(size_t member) {
    core::Sequence& last = m_members[member].last_sequence;
    last = core::Sequence(last.value() + 1);
  }

  /// A second of reading in which all but `silent` members append.
  void Second(RetirementWatch & watch, const std::vector<size_t>& silent) {
    m_now += kSecond;
    for (size_t i = 0; i < m_members.size(); ++i) {
      if (std::find(silent.begin(), silent.end(), i) == silent.end()) {
        Append(i);
      }
    }
    watch.OnReadToEnd(m_now, m_members);
  }

  /// @return after how many seconds records are due; 0: not within the limit
  int SecondsUntilDue(RetirementWatch & watch,
                      const std::vector<size_t>& silent, int limit) {
    for (int seconds = 1; seconds <= limit; ++seconds) {
      Second(watch, silent);
      if (!watch.TakeDue(m_now).empty()) {
        return seconds;
      }
    }
    return 0;
  }

  RetirementWatch Watch(size_t self, core::Duration stagger = {}) {
    RetirementWatch watch(m_members[self].id, {.stagger = stagger});
    Second(watch, {});
    return watch;
  }
};

TEST(RetirementWatch, a_silent_member_is_retired_as_of_its_last_entry) {
  RetirementWatch watch = Watch(0);
  for (int i = 0; i < 9; ++i) {
    Second(watch, {1});
    CHECK(watch.TakeDue(m_now).empty());
  }
  Second(watch, {1});
  const std::vector<v1::RouterRetired> due = watch.TakeDue(m_now);
  UNSIGNED_LONGS_EQUAL(1, due.size());
  STRCMP_EQUAL("r1", due[0].router().c_str());
  UNSIGNED_LONGS_EQUAL(101, due[0].incarnation());
  UNSIGNED_LONGS_EQUAL(2, due[0].as_of_sequence());
  CHECK(due[0].reason() == v1::SILENT);
  CHECK(watch.TakeDue(m_now).empty());
  CHECK_EQUAL(5, SecondsUntilDue(watch, {1}, 10));
}

// This router is paused for an hour and resumes. Its next read shows no new
// entry yet of anybody. It must not retire the fleet for its own absence.
TEST(RetirementWatch, a_pause_of_the_observer_retires_nobody) {
  RetirementWatch watch = Watch(0);
  m_now += 3'600 * kSecond;
  watch.OnReadToEnd(m_now, m_members);
  CHECK(watch.TakeDue(m_now).empty());
  for (int i = 0; i < 30; ++i) {
    Second(watch, {});
    CHECK(watch.TakeDue(m_now).empty());
  }
}

// The observer is paused over and over, for a minute each time. Each read adds
// no more than a usual gap, and others' entries come in between.
TEST(RetirementWatch, an_observer_that_is_paused_repeatedly_retires_nobody) {
  RetirementWatch watch = Watch(0);
  for (int i = 0; i < 50; ++i) {
    m_now += 60 * kSecond;
    watch.OnReadToEnd(m_now, m_members);
    CHECK(watch.TakeDue(m_now).empty());
    Second(watch, {});
  }
}

// The observer stops for four seconds at a time, while a member is silent. It
// cannot know whether that member could append in between.
TEST(RetirementWatch, one_read_adds_no_more_than_a_usual_gap) {
  RetirementWatch watch = Watch(0);
  for (int i = 0; i < 5; ++i) {
    m_now += 3 * kSecond;
    Second(watch, {1});
    CHECK(watch.TakeDue(m_now).empty());
  }
}

// The log takes no appends for a minute but can be read, so everybody looks
// silent. When it recovers, this router's entry is the first one in.
TEST(RetirementWatch, an_outage_of_appends_retires_nobody) {
  RetirementWatch watch = Watch(0);
  const std::vector<size_t> everybody = {0, 1, 2, 3, 4, 5};
  CHECK_EQUAL(0, SecondsUntilDue(watch, everybody, 60));
  CHECK_EQUAL(0, SecondsUntilDue(watch, {1, 2, 3, 4, 5}, 3));
  CHECK_EQUAL(0, SecondsUntilDue(watch, {}, 30));
}

TEST(RetirementWatch, a_router_that_is_no_member_retires_nobody) {
  RetirementWatch watch = Watch(0);
  m_members.erase(m_members.begin());
  CHECK_EQUAL(0, SecondsUntilDue(watch, {1}, 60));
}

// A failure domain dies: a third of the fleet, at once. It is retired as fast
// as one router. Silence of most of the fleet waits longer: the way to the log
// is the likelier cause.
TEST(RetirementWatch, a_failure_domain_goes_at_once_but_a_majority_waits) {
  RetirementWatch one = Watch(0);
  CHECK_EQUAL(10, SecondsUntilDue(one, {1, 4}, 60));
  RetirementWatch most = Watch(0);
  CHECK_EQUAL(30, SecondsUntilDue(most, {1, 2, 4, 5}, 60));
}

TEST(RetirementWatch, a_draining_member_is_given_longer) {
  m_members[1].phase = MemberPhase::kDraining;
  RetirementWatch watch = Watch(0);
  CHECK_EQUAL(20, SecondsUntilDue(watch, {1}, 60));
}

// All routers see the same silence. If all appended, a large fleet would flood
// the log with one record from each; they take turns instead.
TEST(RetirementWatch, observers_take_turns) {
  m_members = MakeMembers(100);
  std::vector<RetirementWatch> watches;
  for (size_t i = 1; i < m_members.size(); ++i) {
    watches.emplace_back(m_members[i].id, RetirementLimits{});
  }
  std::map<int, size_t> appends;  // by second
  for (int second = 0; second <= 14; ++second) {
    m_now += kSecond;
    for (size_t i = 1; i < m_members.size(); ++i) {
      Append(i);
    }
    for (RetirementWatch& watch : watches) {
      watch.OnReadToEnd(m_now, m_members);
      appends[second] += watch.TakeDue(m_now).size();
    }
  }
  UNSIGNED_LONGS_EQUAL(0, appends[9]);
  UNSIGNED_LONGS_EQUAL(1, appends[10]);
  UNSIGNED_LONGS_EQUAL(2, appends[11]);
  UNSIGNED_LONGS_EQUAL(2, appends[12]);
}
