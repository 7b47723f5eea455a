#include <CppUTest/TestHarness.h>

#include <algorithm>  // find
#include <map>        // map

#include "coppervalve/membership/silent_member_detector.h"
#include "fleet.h"

using namespace coppervalve;
using namespace coppervalve::membership;

TEST_GROUP(SilentMemberDetector) {
  std::vector<Member> m_members = MakeMembers(6);
  core::TimePoint m_now = kStart;

  void Append(size_t member) {
    core::Sequence& last = m_members[member].last_sequence;
    last = core::Sequence(last.value() + 1);
  }

  /// Advances one second; all members except `silent` append, then reads to the
  /// end.
  void ReadForOneSecond(SilentMemberDetector & detector,
                        const std::vector<size_t>& silent) {
    m_now += kSecond;
    for (size_t i = 0; i < m_members.size(); ++i) {
      if (std::find(silent.begin(), silent.end(), i) == silent.end()) {
        Append(i);
      }
    }
    detector.OnReadToEnd(m_now, m_members);
  }

  /// @return seconds until records are due; 0 if not within the limit
  int SecondsUntilDue(SilentMemberDetector & detector,
                      const std::vector<size_t>& silent, int limit) {
    for (int seconds = 1; seconds <= limit; ++seconds) {
      ReadForOneSecond(detector, silent);
      if (!detector.TakeDue(m_now).empty()) {
        return seconds;
      }
    }
    return 0;
  }

  SilentMemberDetector MakeDetector(size_t self, core::Duration stagger = {}) {
    SilentMemberDetector detector(m_members[self].id, {.stagger = stagger});
    ReadForOneSecond(detector, {});
    return detector;
  }
};

TEST(SilentMemberDetector, a_silent_member_is_retired_as_of_its_last_entry) {
  SilentMemberDetector detector = MakeDetector(0);
  for (int i = 0; i < 9; ++i) {
    ReadForOneSecond(detector, {1});
    CHECK(detector.TakeDue(m_now).empty());
  }
  ReadForOneSecond(detector, {1});
  const std::vector<v1::RouterRetired> due = detector.TakeDue(m_now);
  UNSIGNED_LONGS_EQUAL(1, due.size());
  STRCMP_EQUAL("r1", due[0].router().c_str());
  UNSIGNED_LONGS_EQUAL(101, due[0].incarnation());
  UNSIGNED_LONGS_EQUAL(2, due[0].as_of_sequence());
  CHECK(due[0].reason() == v1::SILENT);
  CHECK(detector.TakeDue(m_now).empty());
  CHECK_EQUAL(5, SecondsUntilDue(detector, {1}, 10));
}

// The observer resumes after a pause of an hour, and its first read shows no
// new entries. It must not retire the fleet for its own absence.
TEST(SilentMemberDetector, a_pause_of_the_observer_retires_nobody) {
  SilentMemberDetector detector = MakeDetector(0);
  m_now += 3'600 * kSecond;
  detector.OnReadToEnd(m_now, m_members);
  CHECK(detector.TakeDue(m_now).empty());
  for (int i = 0; i < 30; ++i) {
    ReadForOneSecond(detector, {});
    CHECK(detector.TakeDue(m_now).empty());
  }
}

// The observer is paused for a minute again and again. Each read adds no more
// than a usual gap, and the others' entries arrive in between.
TEST(SilentMemberDetector,
     an_observer_that_is_paused_repeatedly_retires_nobody) {
  SilentMemberDetector detector = MakeDetector(0);
  for (int i = 0; i < 50; ++i) {
    m_now += 60 * kSecond;
    detector.OnReadToEnd(m_now, m_members);
    CHECK(detector.TakeDue(m_now).empty());
    ReadForOneSecond(detector, {});
  }
}

// The observer stops for four seconds at a time while a member is silent. The
// time in between counts only up to a usual gap, because the log may have been
// unavailable to the member as well.
TEST(SilentMemberDetector, one_read_adds_no_more_than_a_usual_gap) {
  SilentMemberDetector detector = MakeDetector(0);
  for (int i = 0; i < 5; ++i) {
    m_now += 3 * kSecond;
    ReadForOneSecond(detector, {1});
    CHECK(detector.TakeDue(m_now).empty());
  }
}

// Appends fail for a minute while reads work, so all members look silent. After
// recovery, this router's entry is the first to arrive.
TEST(SilentMemberDetector, an_outage_of_appends_retires_nobody) {
  SilentMemberDetector detector = MakeDetector(0);
  const std::vector<size_t> everybody = {0, 1, 2, 3, 4, 5};
  CHECK_EQUAL(0, SecondsUntilDue(detector, everybody, 60));
  CHECK_EQUAL(0, SecondsUntilDue(detector, {1, 2, 3, 4, 5}, 3));
  CHECK_EQUAL(0, SecondsUntilDue(detector, {}, 30));
}

TEST(SilentMemberDetector, a_router_that_is_no_member_retires_nobody) {
  SilentMemberDetector detector = MakeDetector(0);
  m_members.erase(m_members.begin());
  CHECK_EQUAL(0, SecondsUntilDue(detector, {1}, 60));
}

// A failed domain, a third of the fleet, is retired as fast as one router. If
// most of the fleet is silent, retirement waits longer: the connection to the
// log is the more likely cause.
TEST(SilentMemberDetector,
     a_failure_domain_is_retired_at_once_but_a_majority_later) {
  SilentMemberDetector one = MakeDetector(0);
  CHECK_EQUAL(10, SecondsUntilDue(one, {1, 4}, 60));
  SilentMemberDetector most = MakeDetector(0);
  CHECK_EQUAL(30, SecondsUntilDue(most, {1, 2, 4, 5}, 60));
}

TEST(SilentMemberDetector, a_draining_member_is_given_longer) {
  m_members[1].phase = MemberPhase::kDraining;
  SilentMemberDetector detector = MakeDetector(0);
  CHECK_EQUAL(20, SecondsUntilDue(detector, {1}, 60));
}

// All routers observe the same silence. If all appended a record at once, a
// large fleet would flood the log, so they are staggered.
TEST(SilentMemberDetector, observers_are_staggered) {
  m_members = MakeMembers(100);
  std::vector<SilentMemberDetector> detectors;
  for (size_t i = 1; i < m_members.size(); ++i) {
    detectors.emplace_back(m_members[i].id, RetirementLimits{});
  }
  std::map<int, size_t> appends;  // by second
  for (int second = 0; second <= 14; ++second) {
    m_now += kSecond;
    for (size_t i = 1; i < m_members.size(); ++i) {
      Append(i);
    }
    for (SilentMemberDetector& detector : detectors) {
      detector.OnReadToEnd(m_now, m_members);
      appends[second] += detector.TakeDue(m_now).size();
    }
  }
  UNSIGNED_LONGS_EQUAL(0, appends[9]);
  UNSIGNED_LONGS_EQUAL(1, appends[10]);
  UNSIGNED_LONGS_EQUAL(2, appends[11]);
  UNSIGNED_LONGS_EQUAL(2, appends[12]);
}
